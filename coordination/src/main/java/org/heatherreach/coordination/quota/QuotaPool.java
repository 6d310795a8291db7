package org.heatherreach.coordination.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.workspace.WorkspaceQuota;

/**
 * A daemon's side of the quotas: admits requests against credits of the owners, requests credits, and falls back to a
 * lower rate while an owner doesn't reply.
 *
 * <p>Invariants: each submitted ticket is admitted or refused once, unless it is cancelled; at most one request is in
 * flight for each partition; the fallback rates of all daemons together are at most the rate of the workspace.
 *
 * <p>Confined to one thread.
 */
public final class QuotaPool {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long WAITING_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);
    /** How long requests still wait for replies after the first ones are missing. */
    private static final long LOSS_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * How long requests wait for the first reply since the start: the owner of a partition may have restarted as well, and
     * needs this time to read the store and to write its key.
     */
    private static final long FIRST_REPLY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * The part of the rate that all daemons together use without an owner. Daemons that are cut off from the store and from
     * the owner can't tell whether it still grants the whole rate to the others; a third of the fleet then adds a sixth.
     */
    private static final double OWNERLESS_SHARE = 0.5;

    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** The bytes of the requests in one datagram, so that the reply, which is larger, fits into 1,200 bytes. */
    private static final int MAX_REQUEST_BYTES = 1000;
    /** The size of a grant without the name: tags, lengths, three numbers and two flags. */
    private static final int GRANT_BYTES = 30;

    private final QuotaPartitions partitions;
    private final Partition[] states;
    private final Map<WorkspaceId, WorkspaceCredits> workspaces = new HashMap<>();
    private final Map<Long, WorkspaceCredits> waiting = new HashMap<>();
    private int daemons;

    /**
     * Creates a pool without credits.
     *
     * @param partitions the number of partitions
     * @param daemons the number of listed daemons
     */
    public QuotaPool(int partitions, int daemons) {
        this.partitions = new QuotaPartitions(partitions);
        this.states = new Partition[partitions];
        for (int index = 0; index < partitions; index++) {
            states[index] = new Partition(index);
        }
        replaceDaemonCount(daemons);
    }

    /** Submits a request of a limited workspace. */
    public List<QuotaAction> submit(
            long ticket, WorkspaceId workspace, WorkspaceQuota quota, long deadlineNanos, long nowNanos) {
        Partition partition = states[partitions.of(workspace)];
        WorkspaceCredits credits = creditsOf(workspace, quota, nowNanos);
        credits.recordArrival(quota, nowNanos);
        List<QuotaAction> actions = new ArrayList<>(2);
        if (!credits.hasWaiting() && credits.take(nowNanos)) {
            actions.add(new QuotaAction.Admit(ticket));
        } else if (partition.isLost(nowNanos)) {
            actions.add(credits.admitWithoutOwner(ticket, partition.fairShare(nowNanos), nowNanos));
        } else if (partition.failing && credits.takeFallback(partition.fairShare(nowNanos), nowNanos)) {
            actions.add(new QuotaAction.Admit(ticket));
        } else if (credits.isExhausted(nowNanos)) {
            actions.add(credits.refuse(ticket, nowNanos));
        } else {
            credits.enqueue(ticket, deadlineNanos, nowNanos);
            waiting.put(ticket, credits);
        }
        if (partition.mayAsk(nowNanos) && credits.wanted(partition.failing, nowNanos) > 0) {
            partition.ask(nowNanos, actions);
        }
        return actions;
    }

    private WorkspaceCredits creditsOf(WorkspaceId workspace, WorkspaceQuota quota, long nowNanos) {
        return workspaces.computeIfAbsent(workspace, id -> {
            WorkspaceCredits created = new WorkspaceCredits(id, quota, nowNanos);
            created.beginFallback(nowNanos);
            states[partitions.of(id)].workspaces.put(id, created);
            return created;
        });
    }

    /** Handles the reply of the owner of a partition. A reply that no request awaits is ignored. */
    public List<QuotaAction> applyGrants(int partition, List<QuotaGrant> grants, long nowNanos) {
        Partition state = states[partition];
        if (!state.inFlight || grants.isEmpty()) {
            return List.of();
        }
        List<QuotaAction> actions = new ArrayList<>();
        if (grants.stream().anyMatch(QuotaGrant::notOwner)) {
            // The owner may just have changed, so the requests wait a moment for the next attempt.
            state.recordFailure(nowNanos);
        } else {
            state.inFlight = false;
            state.failing = false;
            state.replied = true;
            for (QuotaGrant grant : grants) {
                WorkspaceCredits credits = workspaces.get(grant.workspace());
                if (credits != null && state.asked.contains(credits)) {
                    credits.applyGrant(grant, state.askedNanos + QuotaTerms.CREDIT_LIFETIME_NANOS, nowNanos);
                    credits.settle(nowNanos, actions);
                }
            }
            state.askIfNeeded(nowNanos, actions);
        }
        return settled(actions);
    }

    /** Gives back the credit of an admitted request that was not sent to a server. */
    public void refund(WorkspaceId workspace, long nowNanos) {
        // The quota is not used before the next request of the workspace replaces it.
        creditsOf(workspace, WorkspaceQuota.UNLIMITED, nowNanos).refund(nowNanos);
    }

    /** Returns what is known of the quota of a workspace; changes nothing. */
    public QuotaStatus status(WorkspaceId workspace, long nowNanos) {
        Partition partition = states[partitions.of(workspace)];
        WorkspaceCredits credits = workspaces.get(workspace);
        return credits == null
                ? QuotaStatus.unused(partition.replied, partition.failing)
                : credits.status(partition.failing, partition.replied, partition.isLost(nowNanos), nowNanos);
    }

    /** Withdraws a request that waits; has no effect if the ticket is admitted or refused already. */
    public void cancel(long ticket) {
        WorkspaceCredits credits = waiting.remove(ticket);
        if (credits != null) {
            credits.cancel(ticket);
        }
    }

    /** Handles the time-outs that have passed. */
    public List<QuotaAction> tick(long nowNanos) {
        List<QuotaAction> actions = new ArrayList<>();
        for (Partition state : states) {
            if (!state.workspaces.isEmpty()) {
                state.tick(nowNanos, actions);
            }
        }
        return settled(actions);
    }

    /** Replaces the number of listed daemons, which divides the rate when there is no owner. */
    public void replaceDaemonCount(int listed) {
        daemons = Math.max(1, listed);
    }

    /**
     * Records a change of the owner of a partition. While there is one, a daemon that can't reach it admits nothing beyond
     * its fallback, because the owner grants the whole rate to the others. A new owner is asked at once.
     *
     * @param present whether there is an owner that may be granting
     */
    public void changeOwner(int partition, boolean present) {
        Partition state = states[partition];
        boolean wasPresent = state.ownerPresent;
        state.ownerPresent = present;
        if (present && !wasPresent) {
            state.inFlight = false;
            state.failing = false;
        }
    }

    /** Returns when {@link #tick} is due; {@link Long#MAX_VALUE} if nothing is active. */
    public long nextTickNanos(long nowNanos) {
        if (workspaces.isEmpty()) {
            return Long.MAX_VALUE;
        }
        long nextNanos = nowNanos + (waiting.isEmpty() ? TICK_NANOS : WAITING_TICK_NANOS);
        for (Partition state : states) {
            if (state.inFlight) {
                nextNanos = Math.min(nextNanos, state.sentNanos + QuotaTerms.REPLY_TIMEOUT_NANOS);
            }
        }
        return nextNanos;
    }

    private List<QuotaAction> settled(List<QuotaAction> actions) {
        for (QuotaAction action : actions) {
            if (action instanceof QuotaAction.Admit admitted) {
                waiting.remove(admitted.ticket());
            } else if (action instanceof QuotaAction.Refuse refused) {
                waiting.remove(refused.ticket());
            }
        }
        return actions;
    }

    private final class Partition {
        private final int index;
        private final Map<WorkspaceId, WorkspaceCredits> workspaces = new LinkedHashMap<>();
        private List<WorkspaceCredits> asked = List.of();
        /** Whether a reply to the last request is awaited. */
        private boolean inFlight;

        /** Whether the last request was sent a second time. */
        private boolean repeated;
        /** Whether the last request got no reply, or that of a daemon that is not the owner. */
        private boolean failing;
        /** Whether an owner has replied since the start. */
        private boolean replied;

        private boolean ownerPresent;
        /** When the first request of the round was sent, from which credits expire. */
        private long askedNanos;

        private long sentNanos;
        /** When the first request without a reply was sent. */
        private long failingNanos;

        /** When the next request may be sent while the owner fails to reply. */
        private long probeNanos;

        private Partition(int index) {
            this.index = index;
        }

        /**
         * Returns whether requests no longer wait for a reply, because more than a few datagrams were lost and the last
         * attempt is recent.
         */
        private boolean isLost(long nowNanos) {
            long waitNanos = replied ? LOSS_NANOS : FIRST_REPLY_NANOS;
            return failing && nowNanos - failingNanos >= waitNanos && nowNanos - probeNanos < RETRY_NANOS;
        }

        private boolean mayAsk(long nowNanos) {
            return !inFlight && (!failing || probeNanos <= nowNanos);
        }

        /** Returns the share of the rate that this daemon may use because no owner has replied for long. */
        private double fairShare(long nowNanos) {
            boolean lost = nowNanos - failingNanos >= QuotaTerms.FALLBACK_NANOS;
            return lost && !ownerPresent ? OWNERLESS_SHARE / daemons : 0;
        }

        private void askIfNeeded(long nowNanos, List<QuotaAction> actions) {
            if (mayAsk(nowNanos)
                    && workspaces.values().stream().anyMatch(credits -> credits.wanted(failing, nowNanos) > 0)) {
                ask(nowNanos, actions);
            }
        }

        private void ask(long nowNanos, List<QuotaAction> actions) {
            List<QuotaRequest> requests = new ArrayList<>();
            asked = new ArrayList<>();
            int sizeBytes = addRequests(true, 0, nowNanos, requests);
            addRequests(false, sizeBytes, nowNanos, requests);
            inFlight = true;
            repeated = false;
            askedNanos = nowNanos;
            sentNanos = nowNanos;
            actions.add(new QuotaAction.Ask(index, requests));
        }

        private int addRequests(boolean withWaiting, int usedBytes, long nowNanos, List<QuotaRequest> requests) {
            int sizeBytes = usedBytes;
            for (WorkspaceCredits credits : workspaces.values()) {
                int wanted = credits.hasWaiting() == withWaiting ? credits.wanted(failing, nowNanos) : 0;
                if (wanted > 0 && (requests.isEmpty() || sizeBytes + bytes(credits) <= MAX_REQUEST_BYTES)) {
                    sizeBytes += bytes(credits);
                    requests.add(credits.request(wanted, nowNanos));
                    asked.add(credits);
                }
            }
            return sizeBytes;
        }

        private static int bytes(WorkspaceCredits credits) {
            return GRANT_BYTES + credits.nameBytes();
        }

        private void tick(long nowNanos, List<QuotaAction> actions) {
            if (inFlight && nowNanos - sentNanos >= QuotaTerms.REPLY_TIMEOUT_NANOS) {
                if (repeated) {
                    fail(nowNanos, actions);
                } else {
                    repeated = true;
                    sentNanos = nowNanos;
                    actions.add(new QuotaAction.Ask(
                            index,
                            asked.stream()
                                    .map(WorkspaceCredits::repeatedRequest)
                                    .toList()));
                }
            }
            for (WorkspaceCredits credits : workspaces.values()) {
                credits.expire(nowNanos);
                if (!inFlight) {
                    credits.refuseOverdue(failing, replied, nowNanos, actions);
                }
            }
            if (!inFlight) {
                removeIdle(nowNanos, actions);
                if (!isLost(nowNanos)) {
                    askIfNeeded(nowNanos, actions);
                }
            }
        }

        private void fail(long nowNanos, List<QuotaAction> actions) {
            recordFailure(nowNanos);
            if (replied) {
                workspaces
                        .values()
                        .forEach(credits -> credits.settleWithoutOwner(fairShare(nowNanos), nowNanos, actions));
            }
        }

        private void recordFailure(long nowNanos) {
            inFlight = false;
            probeNanos = nowNanos + PROBE_INTERVAL_NANOS;
            if (!failing) {
                failing = true;
                failingNanos = askedNanos;
                workspaces.values().forEach(credits -> credits.beginFallback(askedNanos));
            }
        }

        /** Tells the owner which workspaces have no requests here any longer; no reply is awaited. */
        private void removeIdle(long nowNanos, List<QuotaAction> actions) {
            List<WorkspaceCredits> idle = workspaces.values().stream()
                    .filter(credits -> credits.isIdle(nowNanos))
                    .toList();
            List<QuotaRequest> requests = new ArrayList<>();
            int sizeBytes = 0;
            for (WorkspaceCredits credits : idle) {
                if (credits.mustSignOff()) {
                    if (!requests.isEmpty() && sizeBytes + bytes(credits) > MAX_REQUEST_BYTES) {
                        actions.add(new QuotaAction.Ask(index, requests));
                        requests.clear();
                        sizeBytes = 0;
                    }
                    sizeBytes += bytes(credits);
                    requests.add(credits.request(0, nowNanos));
                }
                if (credits.isForgotten(nowNanos)) {
                    workspaces.remove(credits.workspace());
                    QuotaPool.this.workspaces.remove(credits.workspace());
                }
            }
            if (!requests.isEmpty()) {
                actions.add(new QuotaAction.Ask(index, requests));
            }
        }
    }
}
