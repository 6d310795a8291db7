package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.coordination.work.PeerWork;
import org.heatherreach.coordination.work.RunningWork;
import org.heatherreach.coordination.work.WorkEstimator;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * The servers of one service as seen by one daemon: selects servers, queues the requests that wait for one and tracks
 * the suspicion against servers that failed.
 *
 * <p>Invariants: this daemon never has more requests at a server than it has slots; each request that was submitted and
 * not cancelled is dispatched or refused once; a request waits only while it can still be served in time; no request is
 * dispatched to a server that announced its end to this daemon, or that asked it for quiet until a later time.
 *
 * <p>Confined to one duty thread.
 */
public final class ServerPool {
    /**
     * The number of waiting requests without a suitable server that other requests may overtake in one event; bounds
     * the work of the event.
     */
    private static final int PASSED_OVER_LIMIT = 32;

    private final ServerSelector selector;
    private final PoolPolicy policy;
    private final WorkEstimator estimator;
    private final RandomGenerator random;
    private final ShareRule rule;
    private final PoolRefusals refusals;
    private final ServerNotices notices = new ServerNotices();
    private final SlotShares shares;
    private final Map<ServerId, ServerLoad> servers = new LinkedHashMap<>();
    private final Map<Long, RunningRequest> running = new HashMap<>();
    private final WaitingRequests waiting;
    private final AdmissionRule admission;
    private final PeerLoads peerLoads = new PeerLoads(servers.values());

    /**
     * Creates an empty pool with the default policy.
     *
     * @param zone the availability zone of this daemon
     * @param random the source of random choices
     */
    public ServerPool(ZoneId zone, RandomGenerator random) {
        this(zone, random, PoolPolicy.DEFAULT, new WorkEstimator());
    }

    /**
     * Creates an empty pool.
     *
     * @param zone the availability zone of this daemon
     * @param random the source of random choices
     * @param policy how servers are chosen
     * @param estimator learns the work of requests; the estimates of submitted requests must come from it. Not used if
     *     loads are measured by the requests in flight
     */
    public ServerPool(ZoneId zone, RandomGenerator random, PoolPolicy policy, WorkEstimator estimator) {
        this.selector = new ServerSelector(Objects.requireNonNull(zone, "zone"), policy, random);
        this.policy = policy;
        this.estimator = Objects.requireNonNull(estimator, "estimator");
        this.shares = new SlotShares(zone);
        this.random = random;
        this.rule = policy.createShareRule(random);
        this.waiting = new WaitingRequests(rule);
        this.admission = new AdmissionRule(policy.measure(), servers.values(), waiting, running.values());
        this.refusals = new PoolRefusals(admission, waiting, rule, new RetryHint(random, policy.retrySpread()));
    }

    /** Replaces the servers. Requests in flight at a server that is no longer listed continue. */
    public List<PoolAction> replaceServers(List<PoolServer> listed, long nowNanos) {
        Map<ServerId, ServerLoad> previousLoads = new HashMap<>(servers);
        servers.clear();
        for (PoolServer server : listed) {
            if (notices.isLeaving(server)) {
                continue;
            }
            ServerLoad load = previousLoads.get(server.id());
            if (load == null || load.server().incarnation() != server.incarnation()) {
                load = new ServerLoad(server, nowNanos);
                load.noteQuietUntil(notices.quietDeadlineNanos(server, nowNanos));
            }
            load.updateDescription(server);
            servers.put(server.id(), load);
        }
        divideSlots();
        return servers.isEmpty() ? refuseWaiting(RefusalReason.NO_SERVER) : dispatchWaiting(nowNanos);
    }

    /**
     * Replaces the daemons of the zone, among which the slots of its servers are divided.
     *
     * @param self this daemon
     * @param daemons the daemons of the zone
     */
    public void replaceDaemons(DaemonId self, Collection<DaemonId> daemons) {
        shares.replaceDaemons(self, daemons);
        divideSlots();
    }

    private void divideSlots() {
        FailureMeasure failures = policy.failureMeasure(shares.daemonCount());
        selector.setFailureMeasure(failures);
        shares.divideAmong(servers.values(), failures);
    }

    /** Returns whether a request waits for a server. */
    public boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Submits a request without a workspace. */
    public List<PoolAction> submit(PoolRequest request, long nowNanos) {
        return submit(request, Option.none(), nowNanos);
    }

    /**
     * Submits a request.
     *
     * @param workspace the workspace; requests without one are treated as those of one common workspace
     */
    public List<PoolAction> submit(PoolRequest request, Option<WorkspaceId> workspace, long nowNanos) {
        rule.enter(request, workspace, nowNanos);
        waiting.add(request);
        List<PoolAction> actions = dispatchWaiting(nowNanos);
        if (!waiting.contains(request.ticket())) {
            return actions;
        }
        waiting.remove(request);
        Option<PoolAction> refusal = refusals.onArrival(request, nowNanos);
        if (refusal.isDefined()) {
            actions.add(refusal.get());
        } else {
            waiting.add(request);
        }
        return actions;
    }

    /** Frees the slot of a dispatched request and records its result for the server. */
    public List<PoolAction> complete(long ticket, PoolResult result, long nowNanos) {
        RunningRequest completed = running.remove(ticket);
        List<PoolAction> actions = new ArrayList<>(2);
        if (completed == null) {
            return actions;
        }
        if (result == PoolResult.SHED) {
            peerLoads.recordShed(completed.load(), policy.reportsRejections(), nowNanos);
        }
        completed.load().endRequest();
        rule.end(completed.request(), result);
        completed.learn(result, estimator, nowNanos);
        if (result == PoolResult.SUCCESS) {
            peerLoads.recordAnswer(completed.load());
            admission.recordServiceTime(nowNanos - completed.beginNanos());
        }
        boolean alreadyNoted = result == PoolResult.STALLED && completed.isStalled();
        if (!alreadyNoted) {
            noteResult(completed.load(), result, nowNanos, actions);
        }
        actions.addAll(dispatchWaiting(nowNanos));
        return actions;
    }

    /**
     * Records what a server announced in its answer to a dispatched request. The notice belongs to the incarnation of
     * the server to which the request was dispatched; an answer to a request that has completed is ignored.
     */
    public List<PoolAction> recordNotice(long ticket, ServerNotice notice, long nowNanos) {
        RunningRequest request = running.get(ticket);
        if (request == null) {
            return List.of();
        }
        PoolServer server = request.load().server();
        boolean newlyLeaving = notices.record(server, notice);
        // The server may have been listed anew since the dispatch, in the same start or in a later one.
        ServerLoad listed = servers.get(server.id());
        if (listed != null && listed.server().incarnation() == server.incarnation()) {
            listed.noteQuietUntil(notices.quietDeadlineNanos(server, nowNanos));
            if (newlyLeaving) {
                servers.remove(server.id());
            }
        }
        List<PoolAction> actions = new ArrayList<>();
        if (newlyLeaving) {
            actions.add(new PoolAction.Report(server.id(), server.incarnation(), PoolResult.LEAVING));
        }
        if (servers.isEmpty()) {
            actions.addAll(refuseWaiting(RefusalReason.NO_SERVER));
        }
        return actions;
    }

    /** Cancels a request that waits or was dispatched. */
    public List<PoolAction> cancel(long ticket, long nowNanos) {
        if (waiting.cancel(ticket)) {
            return List.of();
        }
        return complete(ticket, PoolResult.CANCELLED, nowNanos);
    }

    /**
     * Records the result that a peer reported: a failure, the success of a server that works again, or that a server
     * leaves.
     *
     * @return whether the report changed what this daemon believes of the server
     */
    public boolean notePeerFailure(long peer, ServerId id, long incarnation, PoolResult result, long nowNanos) {
        ServerLoad load = servers.get(id);
        if (load == null || load.server().incarnation() != incarnation) {
            return false;
        }
        boolean suspectedBefore = load.isSuspected();
        boolean leavingBefore = load.isLeavingByHint(nowNanos);
        load.notePeerResult(peer, result, random.nextDouble(), nowNanos);
        return suspectedBefore != load.isSuspected() || leavingBefore != load.isLeavingByHint(nowNanos);
    }

    /**
     * Sets the numbers of requests that peers have in flight at the servers.
     *
     * @param requestsByHash the requests of all peers by {@link ServerLoad#hashOf}; missing servers keep their number
     * @param validUntilNanos when the numbers expire, on the monotonic clock
     */
    public List<PoolAction> notePeerLoads(Map<Integer, Integer> requestsByHash, long validUntilNanos, long nowNanos) {
        peerLoads.noteRequests(requestsByHash, validUntilNanos);
        return waiting.isEmpty() ? List.of() : dispatchWaiting(nowNanos);
    }

    /**
     * Sets the work that peers have left at the servers; to be called before the numbers of their requests are set.
     *
     * @param workByHash the work of all peers by {@link ServerLoad#hashOf}; missing servers keep theirs
     */
    public void notePeerWork(Map<Integer, PeerWork> workByHash) {
        peerLoads.noteWork(workByHash);
    }

    /**
     * Puts the work that this daemon's requests have left into a map, by the hash of the server, for the servers that
     * {@link #addLoads} names. Each request counts for the mean work of the service at most, as in the choice of this
     * daemon.
     */
    public void addWorkLeft(Map<Integer, Long> leftNanosByHash, long nowNanos) {
        peerLoads.addWorkLeft(leftNanosByHash, nowNanos);
    }

    /** Returns the time that the servers are expected to need for the requests that this daemon has sent to them. */
    public double ownWorkLeftNanos(long nowNanos) {
        return peerLoads.ownWorkLeftNanos(nowNanos);
    }

    /**
     * Returns what each server would cost for a request, the cheapest server that may get it first. Changes nothing and
     * leaves out the random part of the cost.
     */
    public List<ServerCost> explain(PoolRequest request, long nowNanos) {
        return selector.explain(servers.values(), request, nowNanos);
    }

    /**
     * Returns what would be decided on a request without a workspace that is not submitted. Changes no later decision.
     *
     * @param request the request; its ticket must be larger than those of the waiting requests
     */
    public PoolForecast forecast(PoolRequest request, long nowNanos) {
        return forecast(request, Option.none(), nowNanos);
    }

    /**
     * Returns what would be decided on a request that is not submitted. Changes no later decision.
     *
     * @param request the request; its ticket must be larger than those of the waiting requests
     * @param workspace the workspace, if the request has one
     */
    public PoolForecast forecast(PoolRequest request, Option<WorkspaceId> workspace, long nowNanos) {
        rule.enter(request, workspace, nowNanos);
        PoolForecast forecast = forecastEntered(request, nowNanos);
        rule.leave(request);
        return forecast;
    }

    private PoolForecast forecastEntered(PoolRequest request, long nowNanos) {
        List<ServerCost> costs = explain(request, nowNanos);
        int waitingAhead = waiting.aheadOf(request).size();
        List<ServerId> candidates =
                waitingAhead < PASSED_OVER_LIMIT ? ServerSelector.candidates(costs) : List.<ServerId>of();
        Option<PoolForecast.Refusal> refusal =
                candidates.isEmpty() ? refusals.forecast(request, nowNanos) : Option.none();
        return new PoolForecast(costs, candidates, waitingAhead, refusal);
    }

    /** Returns the limit of the random part of a server's cost, which {@link #explain} leaves out. */
    public static double maxRandomCost() {
        return ServerSelector.MAX_RANDOM_COST;
    }

    /** Records that servers, given by their hashes, answered requests of peers. */
    public void notePeerAnswers(Set<Integer> answeredHashes, long nowNanos) {
        peerLoads.noteAnswers(answeredHashes, nowNanos);
    }

    /**
     * Puts the numbers of requests that this daemon has in flight into a map, by the hash of the server; servers
     * without any are left out.
     */
    public void addLoads(Map<Integer, Integer> requestsByHash) {
        peerLoads.addRequests(requestsByHash);
    }

    /** Records that servers, given by their hashes, turned requests of peers away although they should have had room. */
    public void notePeerRejections(Set<Integer> rejectingHashes, long nowNanos) {
        peerLoads.noteRejections(rejectingHashes, nowNanos);
    }

    /** Moves the hashes of the servers that turned a request away since the last call, although they had room, to a set. */
    public void drainRejections(Set<Integer> target) {
        peerLoads.drainRejections(target);
    }

    /** Moves the hashes of the servers that answered since the last call to a set. */
    public void drainAnswers(Set<Integer> target) {
        peerLoads.drainAnswers(target);
    }

    /**
     * Refuses the waiting requests that cannot be served before their deadlines.
     *
     * @param nowNanos the time to assume; ahead of the monotonic clock if the clock stood still during a suspension
     */
    public List<PoolAction> refuseLate(long nowNanos) {
        return refusals.late(nowNanos);
    }

    /** Refuses waiting requests that can no longer be served in time and detects servers that do not answer. */
    public List<PoolAction> tick(long nowNanos) {
        List<PoolAction> actions = refuseLate(nowNanos);
        long stallNanos = admission.stallNanos();
        for (RunningRequest request : running.values()) {
            if (request.detectStall(stallNanos, nowNanos)) {
                noteResult(request.load(), PoolResult.STALLED, nowNanos, actions);
            }
        }
        actions.addAll(dispatchWaiting(nowNanos));
        return actions;
    }

    /** Refuses all waiting requests. */
    public List<PoolAction> refuseWaiting(RefusalReason reason) {
        return refusals.all(reason);
    }

    /** Returns how often requests were dispatched out of the order of priority and deadline. */
    public ShareCounts shareCounts() {
        return rule.counts();
    }

    private void noteResult(ServerLoad load, PoolResult result, long nowNanos, List<PoolAction> actions) {
        boolean worksAgain = result == PoolResult.SUCCESS && load.isHalfOpen(nowNanos);
        load.noteResult(result, random.nextDouble(), nowNanos);
        if (result.isFailure() || worksAgain) {
            actions.add(new PoolAction.Report(load.server().id(), load.server().incarnation(), result));
        }
    }

    private List<PoolAction> dispatchWaiting(long nowNanos) {
        List<PoolAction> actions = new ArrayList<>();
        int passedOver = 0;
        for (PoolRequest next : waiting.inOrder()) {
            ServerLoad load = selector.choose(servers.values(), next, nowNanos);
            if (load != null) {
                waiting.remove(next);
                dispatch(next, load, nowNanos, actions);
            } else if (++passedOver >= PASSED_OVER_LIMIT) {
                break;
            }
        }
        return actions;
    }

    private void dispatch(PoolRequest request, ServerLoad load, long nowNanos, List<PoolAction> actions) {
        ChoiceBasis basis = ChoiceBasis.of(request, load, policy, rule.dispatch(request), nowNanos);
        load.beginRequest();
        RunningWork work = policy.measuresWork() ? load.work().begin(request.estimate(), nowNanos) : null;
        running.put(request.ticket(), new RunningRequest(request, load, work, nowNanos));
        actions.add(new PoolAction.Dispatch(request.ticket(), load.server().id(), basis));
    }
}
