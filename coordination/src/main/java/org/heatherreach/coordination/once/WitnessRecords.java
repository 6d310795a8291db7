package org.heatherreach.coordination.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.id.IncarnationId;

/**
 * The records of a witness.
 *
 * <p>Invariants: a barred key is never acknowledged again while its executor could still dispatch; a key whose intent was
 * acknowledged and not withdrawn is never barred, not even after its record is forgotten; no record is dropped before
 * its key has expired. When there is no room, intents and bars are refused and counted. Confined to one thread.
 */
public final class WitnessRecords {
    /** At 1,000 replaced VMs a day this many issuers appear in two months. */
    private static final int ISSUER_LIMIT = 65_536;

    private final IncarnationId self;
    private final OnceLimits limits;
    /** In the order of creation, which is also the order of expiry. */
    private final LinkedHashMap<KeyName, Record> records = new LinkedHashMap<>();
    /** Per issuer the largest sequence of a forgotten record. */
    private final Map<IncarnationId, Long> forgotten = new LinkedHashMap<>();

    private boolean issuersForgotten;
    private long bodyBytes;
    private long refusedForRoom;
    private long droppedBodies;

    /** Creates empty records. */
    public WitnessRecords(IncarnationId self, OnceLimits limits) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Handles an intent. */
    public IntentAck intent(Intent intent, long nowNanos) {
        ExecutionKey key = intent.attempt().key();
        int attempt = intent.attempt().attempt();
        Record record = key.isWitness(self) ? findOrCreate(key, nowNanos) : null;
        if (record == null) {
            return new IntentAck(intent.attempt(), false);
        }
        boolean accepted;
        if (record.phase == Phase.BARRED || record.phase == Phase.RECORDED) {
            accepted = false;
        } else if (attempt > record.attempt) {
            record.attempt = attempt;
            record.phase = Phase.INTENT;
            record.fingerprint = intent.fingerprint();
            accepted = true;
        } else {
            accepted = attempt == record.attempt && record.phase == Phase.INTENT;
        }
        return new IntentAck(intent.attempt(), accepted);
    }

    /** Handles an outcome copy or a withdrawal. */
    public void record(OutcomeCopy copy, long nowNanos) {
        ExecutionKey key = copy.attempt().key();
        Record record = key.isWitness(self) ? findOrCreate(key, nowNanos) : null;
        if (record == null || record.phase == Phase.RECORDED) {
            return;
        }
        int attempt = copy.attempt().attempt();
        if (copy.answer().isWithdrawal()) {
            if (record.phase != Phase.BARRED && attempt >= record.attempt) {
                record.attempt = attempt;
                record.phase = Phase.WITHDRAWN;
            }
            return;
        }
        RecordedAnswer answer = copy.answer();
        if (bodyBytes + answer.body().length > limits.bodyLimitBytes()) {
            answer = answer.withoutBody();
            droppedBodies++;
        }
        bodyBytes += answer.body().length;
        record.attempt = attempt;
        record.phase = Phase.RECORDED;
        record.fingerprint = copy.fingerprint();
        record.answer = answer;
    }

    /** Answers a query, and bars the key if that is asked for and no attempt is known. */
    public OutcomeAnswer query(OutcomeQuery query, long nowNanos) {
        ExecutionKey key = query.key();
        if (!key.isWitness(self)) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        Record record = records.get(new KeyName(key));
        if (record == null) {
            if (mayBeForgotten(key)) {
                return OutcomeAnswer.of(key, OutcomeAnswer.Kind.EXPIRED);
            }
            record = query.bar() ? findOrCreate(key, nowNanos) : null;
            if (record == null) {
                return OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
            }
        }
        return switch (record.phase) {
            case INTENT -> OutcomeAnswer.of(key, OutcomeAnswer.Kind.INTENT);
            case RECORDED -> OutcomeAnswer.recorded(key, record.fingerprint, record.answer);
            case BARRED -> OutcomeAnswer.of(key, OutcomeAnswer.Kind.BARRED);
            case NEW, WITHDRAWN -> {
                if (!query.bar()) {
                    yield OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
                }
                record.phase = Phase.BARRED;
                yield OutcomeAnswer.of(key, OutcomeAnswer.Kind.BARRED);
            }
        };
    }

    /** Forgets records whose keys have expired. Call it about every 100 ms. */
    public void tick(long nowNanos) {
        Iterator<Map.Entry<KeyName, Record>> oldest = records.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<KeyName, Record> entry = oldest.next();
            Record record = entry.getValue();
            if (nowNanos - record.expiryDeadlineNanos < 0) {
                return;
            }
            oldest.remove();
            if (record.answer != null) {
                bodyBytes -= record.answer.body().length;
            }
            if (record.phase == Phase.INTENT || record.phase == Phase.RECORDED) {
                noteForgotten(entry.getKey());
            }
        }
    }

    /** Returns the number of records. */
    public int size() {
        return records.size();
    }

    /** Returns how many intents and bars were refused because there was no room. */
    public long refusedForRoom() {
        return refusedForRoom;
    }

    /** Returns how many answers were recorded without their body because memory was short. */
    public long droppedBodies() {
        return droppedBodies;
    }

    private Record findOrCreate(ExecutionKey key, long nowNanos) {
        KeyName name = new KeyName(key);
        Record record = records.get(name);
        if (record == null) {
            if (records.size() >= limits.witnessLimit()) {
                refusedForRoom++;
                return null;
            }
            record = new Record(nowNanos + limits.witnessRetentionNanos());
            records.put(name, record);
        }
        return record;
    }

    /** Sequences ascend with time, so a forgotten record proves that every smaller sequence has expired too. */
    private boolean mayBeForgotten(ExecutionKey key) {
        Long largest = forgotten.get(key.issuer());
        return largest == null ? issuersForgotten : key.sequence() <= largest;
    }

    private void noteForgotten(KeyName name) {
        Long before = forgotten.remove(name.issuer);
        forgotten.put(name.issuer, before == null ? name.sequence : Math.max(before, name.sequence));
        if (forgotten.size() > ISSUER_LIMIT) {
            Iterator<IncarnationId> oldest = forgotten.keySet().iterator();
            oldest.next();
            oldest.remove();
            issuersForgotten = true;
        }
    }

    private record KeyName(IncarnationId issuer, long sequence) {
        KeyName(ExecutionKey key) {
            this(key.issuer(), key.sequence());
        }
    }

    private enum Phase {
        NEW,
        INTENT,
        WITHDRAWN,
        BARRED,
        RECORDED
    }

    private static final class Record {
        private final long expiryDeadlineNanos;
        private Phase phase = Phase.NEW;
        private int attempt;
        private long fingerprint;
        private RecordedAnswer answer;

        Record(long expiryDeadlineNanos) {
            this.expiryDeadlineNanos = expiryDeadlineNanos;
        }
    }
}
