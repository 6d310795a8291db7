package org.heatherreach.coordination.once;

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
 * The records of an executor.
 *
 * <p>Invariants: an attempt is dispatched at most once, after an acknowledgement of its own intent, before the expiry of
 * its key and before the activity deadline; a key whose request was dispatched is dispatched again only after the
 * dispatch ended without running; no record is dropped before its key expires, so an unexpired key without a record has
 * never begun. Confined to one thread.
 */
public final class ExecutionRecords implements OnceExecutor {
    private final IncarnationId self;
    private final OnceLimits limits;
    /** By sequence, which is also the order of expiry. */
    private final TreeMap<Long, Record> records = new TreeMap<>();
    /** Records that were admitted and not dispatched, in the order of their begin. */
    private final Map<Long, Record> undispatched = new LinkedHashMap<>();

    private long activityDeadlineNanos;
    private long bodyBytes;
    private long refusedForRoom;
    private long droppedBodies;
    private long dispatches;

    /** Creates empty records. */
    public ExecutionRecords(IncarnationId self, OnceLimits limits, long nowNanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
        activityDeadlineNanos = nowNanos + limits.activityNanos();
    }

    @Override
    public List<OnceAction> begin(ExecutionKey key, long fingerprint, RequestId request, long nowNanos) {
        if (!key.issuer().equals(self)) {
            throw new IllegalArgumentException("key " + key + " belongs to another executor");
        }
        if (nowNanos - key.expiryNanos() >= 0) {
            return List.of(new OnceAction.Refuse(request, RefusalReason.KEY_EXPIRED));
        }
        Record record = records.get(key.sequence());
        if (record == null) {
            if (records.size() >= limits.executionLimit()) {
                refusedForRoom++;
                return List.of(new OnceAction.Refuse(request, RefusalReason.RECORDS_FULL));
            }
            record = new Record(key, fingerprint);
            records.put(key.sequence(), record);
            return admit(record, request);
        }
        if (!record.key.equals(key) || record.bound && record.fingerprint != fingerprint) {
            return List.of(new OnceAction.Refuse(request, RefusalReason.INVALID_KEY));
        }
        return switch (record.phase) {
            case REFUSED -> admit(record, request);
            case ADMITTED, INTENT_SENT, RUNNING -> {
                if (record.waiters.size() >= OnceLimits.WAITER_LIMIT) {
                    yield List.of(new OnceAction.Refuse(request, RefusalReason.KEY_RUNNING));
                }
                record.waiters.add(request);
                yield List.of(new OnceAction.Wait(request));
            }
            case DONE -> List.of(new OnceAction.Replay(request, record.answer));
            case LOST, BARRED -> List.of(new OnceAction.Refuse(request, record.reason));
        };
    }

    @Override
    public List<OnceAction> prepare(KeyAttempt attempt, long nowNanos) {
        Record record = find(attempt, Phase.ADMITTED);
        if (record == null) {
            return List.of();
        }
        if (nowNanos - record.key.expiryNanos() >= 0) {
            return refuse(attempt, RefusalReason.KEY_EXPIRED, nowNanos);
        }
        // After a pause the caller may long have turned elsewhere.
        if (nowNanos - activityDeadlineNanos >= 0) {
            return refuse(attempt, RefusalReason.ACTIVITY_LAPSED, nowNanos);
        }
        record.phase = Phase.INTENT_SENT;
        record.intentSentNanos = nowNanos;
        Intent intent = new Intent(attempt, record.fingerprint);
        return List.of(
                new OnceAction.SendIntent(record.key.firstWitness(), intent),
                new OnceAction.SendIntent(record.key.secondWitness(), intent));
    }

    @Override
    public List<OnceAction> acknowledge(IncarnationId witness, IntentAck ack, long nowNanos) {
        Record record = find(ack.attempt(), Phase.INTENT_SENT);
        if (record == null || !record.key.isWitness(witness)) {
            return List.of();
        }
        if (!ack.accepted()) {
            record.rejections |= witness.equals(record.key.firstWitness()) ? 1 : 2;
            if (record.rejections != 3) {
                return List.of();
            }
            // Either witness may have told a caller that the request did not run.
            record.reason = RefusalReason.KEY_BARRED;
            return end(record, Phase.BARRED, null);
        }
        extendActivity(record.intentSentNanos);
        if (nowNanos - activityDeadlineNanos >= 0) {
            return refuse(ack.attempt(), RefusalReason.ACTIVITY_LAPSED, nowNanos);
        }
        if (nowNanos - record.key.expiryNanos() >= 0) {
            return refuse(ack.attempt(), RefusalReason.KEY_EXPIRED, nowNanos);
        }
        record.phase = Phase.RUNNING;
        undispatched.remove(record.key.sequence());
        dispatches++;
        return List.of(new OnceAction.Dispatch(ack.attempt(), record.waiters.get(0)));
    }

    @Override
    public List<OnceAction> refuse(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        Record record = find(attempt, null);
        if (record == null || !record.phase.isOpen()) {
            return List.of();
        }
        if (record.phase == Phase.RUNNING && reason.outcome() != Outcome.NOT_RUN) {
            throw new IllegalArgumentException(reason + " doesn't prove that the request did not run");
        }
        boolean intentSent = record.phase != Phase.ADMITTED;
        record.reason = reason;
        List<OnceAction> actions = end(record, Phase.REFUSED, null);
        if (intentSent) {
            sendOutcome(record, RecordedAnswer.WITHDRAWN, actions);
        }
        return actions;
    }

    @Override
    public List<OnceAction> complete(KeyAttempt attempt, RecordedAnswer answer, long nowNanos) {
        Record record = find(attempt, Phase.RUNNING);
        if (record == null) {
            return List.of();
        }
        RecordedAnswer kept = answer;
        if (bodyBytes + answer.body().length > limits.bodyLimitBytes()) {
            kept = answer.withoutBody();
            droppedBodies++;
        }
        bodyBytes += kept.body().length;
        record.answer = kept;
        List<OnceAction> actions = end(record, Phase.DONE, answer);
        sendOutcome(record, answer, actions);
        return actions;
    }

    @Override
    public List<OnceAction> lose(KeyAttempt attempt, RefusalReason reason, long nowNanos) {
        Record record = find(attempt, Phase.RUNNING);
        if (record == null) {
            return List.of();
        }
        record.reason = reason;
        return end(record, Phase.LOST, null);
    }

    @Override
    public OutcomeAnswer query(OutcomeQuery query, long nowNanos) {
        ExecutionKey key = query.key();
        if (!key.issuer().equals(self)) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        if (nowNanos - key.expiryNanos() >= 0) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.EXPIRED);
        }
        Record record = records.get(key.sequence());
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
    public void extendActivity(long sentNanos) {
        long deadlineNanos = sentNanos + limits.activityNanos();
        if (deadlineNanos - activityDeadlineNanos > 0) {
            activityDeadlineNanos = deadlineNanos;
        }
    }

    @Override
    public List<OnceAction> tick(long nowNanos) {
        List<OnceAction> actions = new ArrayList<>();
        if (!undispatched.isEmpty()) {
            boolean lapsed = nowNanos - activityDeadlineNanos >= 0;
            for (Record record : List.copyOf(undispatched.values())) {
                boolean unanswered = record.phase == Phase.INTENT_SENT
                        && nowNanos - record.intentSentNanos >= limits.ackTimeoutNanos();
                if (lapsed || unanswered) {
                    RefusalReason reason = lapsed ? RefusalReason.ACTIVITY_LAPSED : RefusalReason.NO_WITNESS;
                    actions.addAll(refuse(new KeyAttempt(record.key, record.attempt), reason, nowNanos));
                }
            }
        }
        while (!records.isEmpty()) {
            Record oldest = records.firstEntry().getValue();
            if (nowNanos - oldest.key.expiryNanos() < 0) {
                break;
            }
            records.pollFirstEntry();
            undispatched.remove(oldest.key.sequence());
            if (oldest.answer != null) {
                bodyBytes -= oldest.answer.body().length;
            }
            // The first request of a running attempt is still answered by its server.
            int first = oldest.phase == Phase.RUNNING ? 1 : 0;
            for (RequestId waiter : oldest.waiters.subList(first, oldest.waiters.size())) {
                actions.add(new OnceAction.Refuse(waiter, RefusalReason.KEY_EXPIRED));
            }
        }
        return actions;
    }

    /** Returns why a key of this executor has no answer, if it was refused, barred or lost and is not forgotten. */
    public Optional<RefusalReason> reason(ExecutionKey key) {
        Record record = records.get(key.sequence());
        boolean ended = record != null && !record.phase.isOpen() && record.key.equals(key);
        return ended ? Optional.ofNullable(record.reason) : Optional.empty();
    }

    /** Returns the number of records. */
    public int size() {
        return records.size();
    }

    /** Returns how many requests were refused because there was no room for a record. */
    public long refusedForRoom() {
        return refusedForRoom;
    }

    /** Returns how many answers were recorded without their body because memory was short. */
    public long droppedBodies() {
        return droppedBodies;
    }

    /** Returns how many attempts were dispatched. */
    public long dispatches() {
        return dispatches;
    }

    private List<OnceAction> admit(Record record, RequestId request) {
        record.phase = Phase.ADMITTED;
        record.attempt++;
        record.rejections = 0;
        record.waiters.add(request);
        undispatched.put(record.key.sequence(), record);
        return List.of(new OnceAction.Admit(new KeyAttempt(record.key, record.attempt), request));
    }

    /** Bars a key that is not in use, so that an earlier copy of its request which arrives late doesn't run. */
    private OutcomeAnswer bar(OutcomeQuery query, Record known) {
        if (!query.bar() || known == null && records.size() >= limits.executionLimit()) {
            return OutcomeAnswer.of(query.key(), OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        Record record = known;
        if (record == null) {
            record = new Record(query.key(), 0);
            record.bound = false;
            records.put(query.key().sequence(), record);
        }
        record.phase = Phase.BARRED;
        record.reason = RefusalReason.KEY_BARRED;
        return OutcomeAnswer.of(query.key(), OutcomeAnswer.Kind.BARRED);
    }

    private Record find(KeyAttempt attempt, Phase phase) {
        Record record = records.get(attempt.key().sequence());
        boolean fits = record != null
                && record.attempt == attempt.attempt()
                && record.key.equals(attempt.key())
                && (phase == null || record.phase == phase);
        return fits ? record : null;
    }

    /** Ends the open phase and answers whoever waits. After a completion the first request has its answer already. */
    private List<OnceAction> end(Record record, Phase phase, RecordedAnswer answer) {
        undispatched.remove(record.key.sequence());
        List<OnceAction> actions = new ArrayList<>();
        for (int i = answer == null ? 0 : 1; i < record.waiters.size(); i++) {
            RequestId waiter = record.waiters.get(i);
            actions.add(
                    answer == null
                            ? new OnceAction.Refuse(waiter, record.reason)
                            : new OnceAction.Replay(waiter, answer));
        }
        record.waiters = new ArrayList<>(1);
        record.phase = phase;
        return actions;
    }

    private void sendOutcome(Record record, RecordedAnswer answer, List<OnceAction> actions) {
        OutcomeCopy copy = new OutcomeCopy(new KeyAttempt(record.key, record.attempt), record.fingerprint, answer);
        for (IncarnationId witness : record.key.witnesses()) {
            actions.add(new OnceAction.SendOutcome(witness, copy));
        }
    }

    private enum Phase {
        ADMITTED,
        INTENT_SENT,
        RUNNING,
        REFUSED,
        DONE,
        LOST,
        BARRED;

        boolean isOpen() {
            return this == ADMITTED || this == INTENT_SENT || this == RUNNING;
        }
    }

    private static final class Record {
        private final ExecutionKey key;
        private final long fingerprint;
        private boolean bound = true;
        private Phase phase;
        private int attempt;
        /** One bit per witness that rejected the intent of this attempt. */
        private int rejections;

        private long intentSentNanos;
        /** The request that was admitted, then its retries. */
        private List<RequestId> waiters = new ArrayList<>(1);

        private RecordedAnswer answer;
        private RefusalReason reason;

        Record(ExecutionKey key, long fingerprint) {
            this.key = key;
            this.fingerprint = fingerprint;
        }
    }
}
