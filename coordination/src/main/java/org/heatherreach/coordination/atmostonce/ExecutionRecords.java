package org.heatherreach.coordination.atmostonce;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * The records that an executor keeps of its keys.
 *
 * <p>Invariants: an attempt is dispatched at most once, after an acknowledgement of its own intent, before the expiry
 * of its key and before the activity deadline; a key whose request was dispatched is dispatched again only after the
 * dispatch ended without running the request; no record is removed before its key expires, so no attempt has begun for
 * an unexpired key without a record. Confined to one thread.
 */
public final class ExecutionRecords implements KeyExecutor {
    private final IncarnationId self;
    private final ExecutionLimits limits;
    /** Records by the sequence of their key, which is also the order of expiry. */
    private final TreeMap<Long, ExecutionRecord> records = new TreeMap<>();
    /** Records whose current attempt is admitted and not dispatched, by sequence, in the order of admission. */
    private final Map<Long, ExecutionRecord> undispatched = new LinkedHashMap<>();

    private final StoredBodies storedBodies;
    private long activityDeadlineNanos;
    private long capacityRefusals;
    private long dispatches;

    /** Creates empty records. */
    public ExecutionRecords(IncarnationId self, ExecutionLimits limits, long nowNanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.storedBodies = new StoredBodies(limits.totalBodyLimitBytes());
        activityDeadlineNanos = nowNanos + limits.activityTimeoutNanos();
    }

    @Override
    public List<ExecutionAction> begin(ExecutionKey key, long fingerprint, RequestId request, long nowNanos) {
        if (!key.issuer().equals(self)) {
            throw new IllegalArgumentException("key " + key + " was issued by another executor");
        }
        if (nowNanos - key.expiryNanos() >= 0) {
            return List.of(new ExecutionAction.Refuse(request, RefusalReason.KEY_EXPIRED));
        }
        ExecutionRecord record = records.get(key.sequence());
        if (record == null) {
            if (records.size() >= limits.executionRecordLimit()) {
                capacityRefusals++;
                return List.of(new ExecutionAction.Refuse(request, RefusalReason.RECORDS_FULL));
            }
            record = new ExecutionRecord(key, fingerprint);
            records.put(key.sequence(), record);
            return admit(record, request);
        }
        if (!record.key.equals(key) || record.fingerprintKnown && record.fingerprint != fingerprint) {
            return List.of(new ExecutionAction.Refuse(request, RefusalReason.INVALID_KEY));
        }
        return switch (record.phase) {
            case REFUSED -> admit(record, request);
            case ADMITTED, INTENT_SENT, RUNNING -> {
                if (record.pendingRequests.size() >= ExecutionLimits.PENDING_REQUEST_LIMIT) {
                    yield List.of(new ExecutionAction.Refuse(request, RefusalReason.KEY_RUNNING));
                }
                record.pendingRequests.add(request);
                yield List.of(new ExecutionAction.Wait(request));
            }
            case DONE -> List.of(new ExecutionAction.Replay(request, record.answer));
            case LOST, BARRED -> List.of(new ExecutionAction.Refuse(request, record.reason));
        };
    }

    @Override
    public List<ExecutionAction> onSlotGranted(KeyAttempt attempt, long nowNanos) {
        ExecutionRecord record = find(attempt, Phase.ADMITTED);
        if (record == null) {
            return List.of();
        }
        if (nowNanos - record.key.expiryNanos() >= 0) {
            return refuse(attempt, RefusalReason.KEY_EXPIRED, nowNanos);
        }
        // During a pause of this process the caller may have sent the request to another daemon.
        if (nowNanos - activityDeadlineNanos >= 0) {
            return refuse(attempt, RefusalReason.ACTIVITY_LAPSED, nowNanos);
        }
        record.phase = Phase.INTENT_SENT;
        record.intentSentNanos = nowNanos;
        Intent intent = new Intent(attempt, record.fingerprint);
        return List.of(
                new ExecutionAction.SendIntent(record.key.firstWitness(), intent),
                new ExecutionAction.SendIntent(record.key.secondWitness(), intent));
    }

    @Override
    public List<ExecutionAction> acknowledge(IncarnationId witness, IntentAck ack, long nowNanos) {
        ExecutionRecord record = find(ack.attempt(), Phase.INTENT_SENT);
        if (record == null || !record.key.isWitness(witness)) {
            return List.of();
        }
        if (!ack.accepted()) {
            record.rejectingWitnesses |= witness.equals(record.key.firstWitness()) ? 1 : 2;
            if (record.rejectingWitnesses != 3) {
                return List.of();
            }
            // Either witness may have barred the key, and a caller may already have received the outcome "not run".
            record.reason = RefusalReason.KEY_BARRED;
            return endAttempt(record, Phase.BARRED, null);
        }
        extendActivityDeadline(record.intentSentNanos);
        if (nowNanos - activityDeadlineNanos >= 0) {
            return refuse(ack.attempt(), RefusalReason.ACTIVITY_LAPSED, nowNanos);
        }
        if (nowNanos - record.key.expiryNanos() >= 0) {
            return refuse(ack.attempt(), RefusalReason.KEY_EXPIRED, nowNanos);
        }
        record.phase = Phase.RUNNING;
        undispatched.remove(record.key.sequence());
        dispatches++;
        return List.of(new ExecutionAction.Dispatch(ack.attempt(), record.pendingRequests.get(0)));
    }

    /**
     * Dispatches an attempt again, once it has a slot of another backend server. The earlier dispatch must have
     * provably ended without running the request. The attempt is refused if its key has expired or the activity
     * deadline has passed.
     */
    public List<ExecutionAction> redispatch(KeyAttempt attempt, long nowNanos) {
        ExecutionRecord record = find(attempt, Phase.RUNNING);
        if (record == null) {
            return List.of();
        }
        if (nowNanos - activityDeadlineNanos >= 0) {
            return refuse(attempt, RefusalReason.ACTIVITY_LAPSED, nowNanos);
        }
        if (nowNanos - record.key.expiryNanos() >= 0) {
            return refuse(attempt, RefusalReason.DEADLINE_PASSED, nowNanos);
        }
        dispatches++;
        return List.of(new ExecutionAction.Dispatch(attempt, record.pendingRequests.get(0)));
    }

    @Override
    public List<ExecutionAction> refuse(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        ExecutionRecord record = find(attempt, null);
        if (record == null || !record.phase.isOpen()) {
            return List.of();
        }
        if (record.phase == Phase.RUNNING && reason.outcome() != Outcome.NOT_RUN) {
            throw new IllegalArgumentException(reason + " does not prove that the request did not run");
        }
        boolean intentSent = record.phase != Phase.ADMITTED;
        record.reason = reason;
        List<ExecutionAction> actions = endAttempt(record, Phase.REFUSED, null);
        if (intentSent) {
            addOutcomeCopies(record, RecordedAnswer.WITHDRAWN, actions);
        }
        return actions;
    }

    @Override
    public List<ExecutionAction> complete(KeyAttempt attempt, RecordedAnswer answer, long nowNanos) {
        ExecutionRecord record = find(attempt, Phase.RUNNING);
        if (record == null) {
            return List.of();
        }
        record.answer = storedBodies.store(answer);
        List<ExecutionAction> actions = endAttempt(record, Phase.DONE, answer);
        addOutcomeCopies(record, answer, actions);
        return actions;
    }

    @Override
    public List<ExecutionAction> endUnknown(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        ExecutionRecord record = find(attempt, Phase.RUNNING);
        if (record == null) {
            return List.of();
        }
        record.reason = reason;
        return endAttempt(record, Phase.LOST, null);
    }

    @Override
    public OutcomeAnswer handleQuery(OutcomeQuery query, long nowNanos) {
        ExecutionKey key = query.key();
        if (!key.issuer().equals(self)) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        if (nowNanos - key.expiryNanos() >= 0) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.EXPIRED);
        }
        ExecutionRecord record = records.get(key.sequence());
        if (record == null || record.phase == Phase.REFUSED) {
            return bar(query, record);
        }
        return switch (record.phase) {
            case DONE -> OutcomeAnswer.recorded(key, record.fingerprint, record.answer);
            case BARRED -> OutcomeAnswer.of(key, OutcomeAnswer.Kind.BARRED);
            case LOST -> OutcomeAnswer.of(key, OutcomeAnswer.Kind.INTENT);
            default -> OutcomeAnswer.of(key, OutcomeAnswer.Kind.RUNNING);
        };
    }

    @Override
    public void extendActivityDeadline(long sentNanos) {
        long deadlineNanos = sentNanos + limits.activityTimeoutNanos();
        if (deadlineNanos - activityDeadlineNanos > 0) {
            activityDeadlineNanos = deadlineNanos;
        }
    }

    @Override
    public List<ExecutionAction> tick(long nowNanos) {
        List<ExecutionAction> actions = new ArrayList<>();
        if (!undispatched.isEmpty()) {
            boolean activityLapsed = nowNanos - activityDeadlineNanos >= 0;
            for (ExecutionRecord record : List.copyOf(undispatched.values())) {
                boolean unanswered = record.phase == Phase.INTENT_SENT
                        && nowNanos - record.intentSentNanos >= limits.ackTimeoutNanos();
                if (activityLapsed || unanswered) {
                    RefusalReason reason = activityLapsed ? RefusalReason.ACTIVITY_LAPSED : RefusalReason.NO_WITNESS;
                    actions.addAll(refuse(new KeyAttempt(record.key, record.attempt), reason, nowNanos));
                }
            }
        }
        while (!records.isEmpty()) {
            ExecutionRecord oldest = records.firstEntry().getValue();
            if (nowNanos - oldest.key.expiryNanos() < 0) {
                break;
            }
            records.pollFirstEntry();
            undispatched.remove(oldest.key.sequence());
            storedBodies.release(oldest.answer);
            // The first request of a running attempt still receives the answer of its server; its retries are refused.
            int firstToRefuse = oldest.phase == Phase.RUNNING ? 1 : 0;
            for (RequestId pendingRequest :
                    oldest.pendingRequests.subList(firstToRefuse, oldest.pendingRequests.size())) {
                actions.add(new ExecutionAction.Refuse(pendingRequest, RefusalReason.KEY_EXPIRED));
            }
        }
        return actions;
    }

    /**
     * Returns why a key of this executor has no answer, if it still has a record and is barred, or its last attempt was
     * refused or ended with an unknown outcome.
     */
    public Optional<RefusalReason> refusalReason(ExecutionKey key) {
        ExecutionRecord record = records.get(key.sequence());
        boolean ended = record != null && !record.phase.isOpen() && record.key.equals(key);
        return ended ? Optional.ofNullable(record.reason) : Optional.empty();
    }

    /** Returns the number of records. */
    public int size() {
        return records.size();
    }

    /** Returns how many requests were refused because the limit of records was reached. */
    public long capacityRefusals() {
        return capacityRefusals;
    }

    /** Returns how many answers were recorded without their body because the limit of stored bytes was reached. */
    public long droppedBodies() {
        return storedBodies.droppedBodies();
    }

    /** Returns the number of dispatches, including repeated dispatches of one attempt. */
    public long dispatches() {
        return dispatches;
    }

    private List<ExecutionAction> admit(ExecutionRecord record, RequestId request) {
        record.phase = Phase.ADMITTED;
        record.attempt++;
        record.rejectingWitnesses = 0;
        record.pendingRequests.add(request);
        undispatched.put(record.key.sequence(), record);
        return List.of(new ExecutionAction.Admit(new KeyAttempt(record.key, record.attempt), request));
    }

    /**
     * Bars a key without an open attempt, if the query requests it and the limit of records allows it. A copy of the
     * request that arrives late then does not run.
     */
    private OutcomeAnswer bar(OutcomeQuery query, ExecutionRecord existing) {
        if (!query.bar() || existing == null && records.size() >= limits.executionRecordLimit()) {
            return OutcomeAnswer.of(query.key(), OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        ExecutionRecord record = existing;
        if (record == null) {
            record = new ExecutionRecord(query.key(), 0);
            record.fingerprintKnown = false;
            records.put(query.key().sequence(), record);
        }
        record.phase = Phase.BARRED;
        record.reason = RefusalReason.KEY_BARRED;
        return OutcomeAnswer.of(query.key(), OutcomeAnswer.Kind.BARRED);
    }

    /** Returns the record whose current attempt is the given one, or null. A null phase matches every phase. */
    private ExecutionRecord find(KeyAttempt attempt, Phase requiredPhase) {
        ExecutionRecord record = records.get(attempt.key().sequence());
        boolean matches = record != null
                && record.attempt == attempt.number()
                && record.key.equals(attempt.key())
                && (requiredPhase == null || record.phase == requiredPhase);
        return matches ? record : null;
    }

    /**
     * Ends the open attempt and answers the pending requests. With an answer, the first request is left out because it
     * has received the answer from its server already.
     */
    private List<ExecutionAction> endAttempt(ExecutionRecord record, Phase phase, RecordedAnswer answer) {
        undispatched.remove(record.key.sequence());
        List<ExecutionAction> actions = new ArrayList<>();
        for (int i = answer == null ? 0 : 1; i < record.pendingRequests.size(); i++) {
            RequestId pendingRequest = record.pendingRequests.get(i);
            actions.add(
                    answer == null
                            ? new ExecutionAction.Refuse(pendingRequest, record.reason)
                            : new ExecutionAction.Replay(pendingRequest, answer));
        }
        record.pendingRequests = new ArrayList<>(1);
        record.phase = phase;
        return actions;
    }

    private void addOutcomeCopies(ExecutionRecord record, RecordedAnswer answer, List<ExecutionAction> actions) {
        OutcomeCopy copy = new OutcomeCopy(new KeyAttempt(record.key, record.attempt), record.fingerprint, answer);
        for (IncarnationId witness : record.key.witnesses()) {
            actions.add(new ExecutionAction.SendOutcome(witness, copy));
        }
    }

    private enum Phase {
        /** The attempt waits for a slot. */
        ADMITTED,
        /** The intent was sent and no witness has acknowledged it. */
        INTENT_SENT,
        /** The request was dispatched. */
        RUNNING,
        /** The attempt ended before the request ran. */
        REFUSED,
        /** The complete answer of the server is recorded. */
        DONE,
        /** The dispatch ended without a complete answer, so the request may have run. */
        LOST,
        /** No attempt may begin. */
        BARRED;

        boolean isOpen() {
            return this == ADMITTED || this == INTENT_SENT || this == RUNNING;
        }
    }

    private static final class ExecutionRecord {
        private final ExecutionKey key;
        private final long fingerprint;
        /** Whether a request is bound to the key; false if the key was barred before any request arrived. */
        private boolean fingerprintKnown = true;

        private Phase phase;
        private int attempt;
        /** Bits of the witnesses that rejected the intent of the current attempt: 1 for the first, 2 for the second. */
        private int rejectingWitnesses;

        private long intentSentNanos;
        /** The admitted request, followed by its retries. */
        private List<RequestId> pendingRequests = new ArrayList<>(1);

        private RecordedAnswer answer;
        private RefusalReason reason;

        ExecutionRecord(ExecutionKey key, long fingerprint) {
            this.key = key;
            this.fingerprint = fingerprint;
        }
    }
}
