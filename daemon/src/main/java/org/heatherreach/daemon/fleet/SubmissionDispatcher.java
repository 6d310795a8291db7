package org.heatherreach.daemon.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectList;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotRequest;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.table.Table;
import org.heatherreach.transport.http.BackendServer;
import org.heatherreach.transport.http.ScheduleDecision;
import org.heatherreach.transport.http.Submission;
import org.jboss.logging.Logger;

/**
 * Submits requests to the slot pools and delivers the decisions of the pools.
 *
 * <p>Invariants: each submission that was accepted and not cancelled gets exactly one decision; a slot whose dispatch
 * could not be delivered is released.
 *
 * <p>Thread safety: confined to the duty thread.
 */
final class SubmissionDispatcher {
    private static final Logger LOG = Logger.getLogger(SubmissionDispatcher.class);

    private final Map<ServiceId, ScheduledService> services;
    private final Supplier<Table> table;
    private final SlotMessages messages;
    private final RandomGenerator random;
    private final LongConsumer tickAdvance;
    private final LongConsumer laterCancellation;
    private final RetryHint retryHint;
    private final Map<ServiceId, SuspectList> suspects = new HashMap<>();
    private final PendingSubmissions pending = new PendingSubmissions();
    private final Counter leasedDispatches;
    private final Counter queuedDispatches;
    private final Counter localDispatches;
    private boolean closing;

    /**
     * Creates a dispatcher without submissions.
     *
     * @param services a view of the services of the duty
     * @param table returns the table in force
     * @param messages sends the reports of pools
     * @param random chooses the part of a request and the retry hints
     * @param tickAdvance advances the next tick to a time, if it is later
     * @param laterCancellation cancels a submission by its ticket after the present event
     * @param registry the registry of the counters
     */
    SubmissionDispatcher(
            Map<ServiceId, ScheduledService> services,
            Supplier<Table> table,
            SlotMessages messages,
            RandomGenerator random,
            LongConsumer tickAdvance,
            LongConsumer laterCancellation,
            MeterRegistry registry) {
        this.services = Objects.requireNonNull(services, "services");
        this.table = Objects.requireNonNull(table, "table");
        this.messages = Objects.requireNonNull(messages, "messages");
        this.random = Objects.requireNonNull(random, "random");
        this.tickAdvance = Objects.requireNonNull(tickAdvance, "tickAdvance");
        this.laterCancellation = Objects.requireNonNull(laterCancellation, "laterCancellation");
        this.retryHint = new RetryHint(random);
        leasedDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "leased");
        queuedDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "queued");
        localDispatches = registry.counter("heatherreach.slots.dispatched", "slot", "local-share");
    }

    /** Submits a request to the pool of a part; refuses it if there is none, or if its workspace has too many. */
    void accept(Submission submission, long nowNanos) {
        if (closing) {
            decide(
                    submission,
                    new ScheduleDecision.Refuse(RefusalReason.SHUTTING_DOWN, retryHint.randomDelayMillis(0)));
            return;
        }
        ScheduledService service = services.get(submission.service());
        if (service == null) {
            decide(submission, new ScheduleDecision.Refuse(RefusalReason.NO_SERVER, retryHint.randomDelayMillis(0)));
            return;
        }
        if (submission.workspace().exists(this::isOverLimit)) {
            decide(
                    submission,
                    new ScheduleDecision.Refuse(RefusalReason.WORKSPACE_LIMIT, retryHint.randomDelayMillis(0)));
            return;
        }
        pending.count(submission);
        submitTo(service, submission, nowNanos);
    }

    private boolean isOverLimit(WorkspaceId workspace) {
        // The limit applies to the requests of the workspace at this daemon, over all services.
        return table.get().workspace(workspace).exists(limits -> pending.countOf(workspace) >= limits.requestLimit());
    }

    private void submitTo(ScheduledService service, Submission submission, long nowNanos) {
        ScheduledPart part = service.choosePart(random);
        pending.assign(submission, service, part);
        SlotRequest request = new SlotRequest(
                PendingSubmissions.requestId(submission.ticket()),
                submission.rank(),
                submission.deadlineNanos(),
                Option.none(),
                placementFilter(part, submission));
        carryOut(service, part, part.pool().submit(request, nowNanos));
    }

    private Predicate<ServerId> placementFilter(ScheduledPart part, Submission submission) {
        Fingerprint fingerprint = new Fingerprint(submission.fingerprint());
        Set<ServerId> triedServers = submission.triedServers();
        return server -> {
            if (triedServers.contains(server) && !part.allTried(triedServers)) {
                return false;
            }
            SuspectList list = suspects.get(submission.service());
            return list == null || list.mayPlace(fingerprint, server, System.nanoTime());
        };
    }

    /** Gives back the slot or the place in the queue of a request; has no effect if it has neither. */
    void release(long ticket, boolean completed, long nowNanos) {
        PendingSubmission entry = pending.find(ticket);
        if (entry == null) {
            return;
        }
        pending.remove(entry);
        RequestId id = PendingSubmissions.requestId(ticket);
        LeasedSlotPool pool = entry.part.pool();
        carryOut(entry.service, entry.part, completed ? pool.complete(id, nowNanos) : pool.cancel(id, nowNanos));
    }

    /** Refuses the requests that wait for a slot, and from now on every other one, because the daemon shuts down. */
    void refuseAll(long nowNanos) {
        closing = true;
        for (PendingSubmission entry : pending.queued()) {
            if (!entry.dispatched) {
                release(entry.submission.ticket(), false, nowNanos);
                decide(
                        entry.submission,
                        new ScheduleDecision.Refuse(RefusalReason.SHUTTING_DOWN, retryHint.randomDelayMillis(0)));
            }
        }
    }

    /** Submits the queued requests of a part that ends to other parts of the service. */
    void moveQueued(ScheduledService service, ScheduledPart part, long nowNanos) {
        for (PendingSubmission entry : pending.queued()) {
            if (entry.part == part && !entry.dispatched) {
                part.pool().cancel(PendingSubmissions.requestId(entry.submission.ticket()), nowNanos);
                submitTo(service, entry.submission, nowNanos);
            }
        }
    }

    /** Applies an update of the requests that are suspected of crashes. */
    void updateSuspects(SuspectUpdate update, long nowNanos) {
        suspects.computeIfAbsent(update.service(), SuspectList::new).apply(update, nowNanos);
    }

    /** Carries out the actions of the pool of a part. */
    void carryOut(ScheduledService service, ScheduledPart part, List<SlotAction> actions) {
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                dispatch(service, part, dispatch);
            } else if (action instanceof SlotAction.Refuse refuse) {
                PendingSubmission entry = pending.find(PendingSubmissions.ticketOf(refuse.request()));
                pending.remove(entry);
                decide(entry.submission, new ScheduleDecision.Refuse(refuse.reason(), refuse.retryAfterMillis()));
            } else if (action instanceof SlotAction.SendReport send) {
                messages.send(send);
            }
        }
        tickAdvance.accept(part.updateDueNanos());
    }

    private void dispatch(ScheduledService service, ScheduledPart part, SlotAction.Dispatch dispatch) {
        PendingSubmission entry = pending.find(PendingSubmissions.ticketOf(dispatch.request()));
        entry.dispatched = true;
        if (part.pool().usesLocalShare()) {
            localDispatches.increment();
        } else if (dispatch.queuedNanos() == 0) {
            leasedDispatches.increment();
        } else {
            queuedDispatches.increment();
        }
        BackendServer server = service.listed().find(dispatch.server()).server();
        if (!decide(entry.submission, new ScheduleDecision.Dispatch(server))) {
            // The submitter did not get the decision and won't complete the submission, so its slot is released here.
            laterCancellation.accept(entry.submission.ticket());
        }
    }

    private static boolean decide(Submission submission, ScheduleDecision decision) {
        try {
            submission.callback().accept(decision);
            return true;
        } catch (RuntimeException e) {
            LOG.errorf(e, "A decision on a request of service %s could not be delivered", submission.service());
            return false;
        }
    }
}
