package org.heatherreach.daemon.fleet;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Meters of the record duty. All of them are registered at the start, so that a reason that never occurred is exported
 * as 0. Safe for use by any thread.
 */
final class RecordMeters {
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<End, Counter> ends = new EnumMap<>(End.class);
    private final Map<Event, Counter> ringRefusals = new EnumMap<>(Event.class);
    private final Counter issuedKeys;
    private final Counter unsentCopies;
    private final Counter receivedCopies;
    private final AtomicLong executionRecords = new AtomicLong();
    private final AtomicLong witnessRecords = new AtomicLong();
    private final AtomicLong capacityRefusals = new AtomicLong();
    private final AtomicLong droppedBodies = new AtomicLong();

    /** How the work of this daemon on a request with a key ends. */
    enum End {
        /** The server's answer is recorded. */
        ANSWERED,
        /** The attempt ended before any server ran it. */
        NOT_RUN,
        /** A server may have run it, but its answer is lost. */
        UNKNOWN,
        /** A recorded answer was returned. */
        REPLAYED,
        /** The request was forwarded to the executor. */
        FORWARDED
    }

    /** The types of events in the ring of the duty. */
    enum Event {
        BEGIN,
        PREPARE,
        RESOLVE,
        FINISH,
        INTENT,
        INTENT_ACK,
        INTENT_FAILURE,
        OUTCOME_COPY,
        OUTCOME_QUERY,
        OUTCOME_ANSWER,
        ISSUE_KEYS,
        SHOW_OUTCOME
    }

    RecordMeters(MeterRegistry registry) {
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("heatherreach.once.refusals", "reason", reason.label()));
        }
        for (End end : End.values()) {
            ends.put(end, registry.counter("heatherreach.once.ends", "kind", label(end)));
        }
        for (Event event : Event.values()) {
            ringRefusals.put(event, registry.counter("heatherreach.once.ring.refused", "event", label(event)));
        }
        issuedKeys = registry.counter("heatherreach.once.keys.issued");
        unsentCopies = registry.counter("heatherreach.once.copies.unsent");
        receivedCopies = registry.counter("heatherreach.once.copies.received");
        registry.gauge("heatherreach.once.execution.records", executionRecords);
        registry.gauge("heatherreach.once.witness.records", witnessRecords);
        registry.gauge("heatherreach.once.refused.for.room", capacityRefusals);
        registry.gauge("heatherreach.once.dropped.bodies", droppedBodies);
    }

    void countRefusal(RefusalReason reason) {
        refusals.get(reason).increment();
    }

    void countEnd(End end) {
        ends.get(end).increment();
    }

    void countRingRefusal(Event event) {
        ringRefusals.get(event).increment();
    }

    void countIssuedKeys(int count) {
        issuedKeys.increment(count);
    }

    void countUnsentCopy() {
        unsentCopies.increment();
    }

    void countReceivedCopy() {
        receivedCopies.increment();
    }

    void publish(long executions, long witnessed, long refusedForCapacity, long bodiesDropped) {
        executionRecords.set(executions);
        witnessRecords.set(witnessed);
        capacityRefusals.set(refusedForCapacity);
        droppedBodies.set(bodiesDropped);
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
