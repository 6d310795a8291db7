package org.heatherreach.coordination.atmostonce;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.heatherreach.state.id.IncarnationId;

/**
 * The records that a witness keeps of the keys of other daemons.
 *
 * <p>Invariants: no intent for a barred key is acknowledged while the executor of the key could still dispatch; a key
 * whose intent was acknowledged and not withdrawn is never barred, not even after its record has been removed; no
 * record is removed before its key has expired. At the limit of records, intents and queries that would bar a key are
 * refused and counted. Confined to one thread.
 */
public final class WitnessRecords {
    /** Number of issuers to keep an expired sequence for; 1,000 replaced VMs a day make this many in two months. */
    private static final int ISSUER_LIMIT = 65_536;

    private final IncarnationId self;
    private final ExecutionLimits limits;
    /** Records in the order of creation, which is also the order of removal. */
    private final LinkedHashMap<KeyId, WitnessRecord> records = new LinkedHashMap<>();
    /**
     * Per issuer the largest sequence of the removed records that had an intent or an answer. At the limit, the issuer
     * that was updated least recently is evicted.
     */
    private final Map<IncarnationId, Long> largestExpiredSequences = new LinkedHashMap<>();

    private final StoredBodies storedBodies;

    /** Whether an issuer was evicted, so that records of any issuer without an entry may have been removed. */
    private boolean issuersEvicted;

    private long capacityRefusals;

    /** Creates empty records. */
    public WitnessRecords(IncarnationId self, ExecutionLimits limits) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.storedBodies = new StoredBodies(limits.totalBodyLimitBytes());
    }

    /** Handles an intent and returns whether it is acknowledged. */
    public IntentAck handleIntent(Intent intent, long nowNanos) {
        ExecutionKey key = intent.attempt().key();
        int attempt = intent.attempt().number();
        WitnessRecord record = key.isWitness(self) ? findOrCreate(key, nowNanos) : null;
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
        WitnessRecord record = key.isWitness(self) ? findOrCreate(key, nowNanos) : null;
        if (record == null || record.phase == Phase.RECORDED) {
            return;
        }
        int attempt = copy.attempt().number();
        if (copy.answer().isWithdrawal()) {
            if (record.phase != Phase.BARRED && attempt >= record.attempt) {
                record.attempt = attempt;
                record.phase = Phase.WITHDRAWN;
            }
            return;
        }
        record.attempt = attempt;
        record.phase = Phase.RECORDED;
        record.fingerprint = copy.fingerprint();
        record.answer = storedBodies.store(copy.answer());
    }

    /** Answers a query. Bars the key if the query requests it and no intent or answer is recorded. */
    public OutcomeAnswer handleQuery(OutcomeQuery query, long nowNanos) {
        ExecutionKey key = query.key();
        if (!key.isWitness(self)) {
            return OutcomeAnswer.of(key, OutcomeAnswer.Kind.UNKNOWN_KEY);
        }
        WitnessRecord record = records.get(new KeyId(key));
        if (record == null) {
            if (mayHaveExpired(key)) {
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

    /** Removes the records of expired keys. To be called about every 100 ms. */
    public void tick(long nowNanos) {
        Iterator<Map.Entry<KeyId, WitnessRecord>> oldestFirst =
                records.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<KeyId, WitnessRecord> entry = oldestFirst.next();
            WitnessRecord record = entry.getValue();
            if (nowNanos - record.removalDeadlineNanos < 0) {
                return;
            }
            oldestFirst.remove();
            storedBodies.release(record.answer);
            if (record.phase == Phase.INTENT || record.phase == Phase.RECORDED) {
                saveExpiredSequence(entry.getKey());
            }
        }
    }

    /** Returns the number of records. */
    public int size() {
        return records.size();
    }

    /** Returns how many messages found the limit of records reached, so that no record was created. */
    public long capacityRefusals() {
        return capacityRefusals;
    }

    /** Returns how many answers were recorded without their body because the limit of stored bytes was reached. */
    public long droppedBodies() {
        return storedBodies.droppedBodies();
    }

    private WitnessRecord findOrCreate(ExecutionKey key, long nowNanos) {
        KeyId keyId = new KeyId(key);
        WitnessRecord record = records.get(keyId);
        if (record == null) {
            if (records.size() >= limits.witnessRecordLimit()) {
                capacityRefusals++;
                return null;
            }
            record = new WitnessRecord(nowNanos + limits.witnessRetentionNanos());
            records.put(keyId, record);
        }
        return record;
    }

    /**
     * Returns whether a record of the key may have been removed. Sequences ascend with time, so a removed record proves
     * that every key of its issuer with a smaller sequence has expired too.
     */
    private boolean mayHaveExpired(ExecutionKey key) {
        Long largest = largestExpiredSequences.get(key.issuer());
        return largest == null ? issuersEvicted : key.sequence() <= largest;
    }

    private void saveExpiredSequence(KeyId keyId) {
        Long previous = largestExpiredSequences.remove(keyId.issuer);
        largestExpiredSequences.put(
                keyId.issuer, previous == null ? keyId.sequence : Math.max(previous, keyId.sequence));
        if (largestExpiredSequences.size() > ISSUER_LIMIT) {
            Iterator<IncarnationId> issuers = largestExpiredSequences.keySet().iterator();
            issuers.next();
            issuers.remove();
            issuersEvicted = true;
        }
    }

    private record KeyId(IncarnationId issuer, long sequence) {
        KeyId(ExecutionKey key) {
            this(key.issuer(), key.sequence());
        }
    }

    private enum Phase {
        /** The record was just created. */
        NEW,
        /** The intent of the current attempt was acknowledged. */
        INTENT,
        /** The executor withdrew the intent; its withdrawal may have arrived first. */
        WITHDRAWN,
        /** No intent is acknowledged any more. */
        BARRED,
        /** The answer of the server is recorded. */
        RECORDED
    }

    private static final class WitnessRecord {
        private final long removalDeadlineNanos;
        private Phase phase = Phase.NEW;
        private int attempt;
        private long fingerprint;
        private RecordedAnswer answer;

        WitnessRecord(long removalDeadlineNanos) {
            this.removalDeadlineNanos = removalDeadlineNanos;
        }
    }
}
