package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.heatherreach.coordination.atmostonce.ExecutionAction;
import org.heatherreach.transport.duty.DutyThread;

/**
 * Takes the operations on the records from any thread to the duty thread.
 *
 * <p>Invariants: an operation that is refused because the ring is full is counted; one that must not be lost waits beside
 * the ring instead and runs with the next operation or tick.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class RecordRing implements AutoCloseable {
    private static final int CAPACITY = 8192;
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Consumer<Event> handler;
    private final LongConsumer ticker;
    private final RecordMeters meters;
    private final DutyThread<Event> duty;
    private final Queue<Event> overflow = new ConcurrentLinkedQueue<>();

    /** An operation on the records. */
    @FunctionalInterface
    interface Event {
        /** Runs the operation and returns the actions that follow. */
        List<ExecutionAction> apply(long nowNanos);
    }

    /**
     * Creates a ring; {@link #start} starts its thread.
     *
     * @param handler runs an operation on the duty thread
     * @param ticker does the periodic work on the duty thread
     * @param meters counts the operations that are refused
     */
    RecordRing(Consumer<Event> handler, LongConsumer ticker, RecordMeters meters) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.ticker = Objects.requireNonNull(ticker, "ticker");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.duty = new DutyThread<>("record", CAPACITY, this::handle, this::tick, TICK_NANOS);
    }

    /** Starts the thread. */
    void start() {
        duty.start();
    }

    /** Stops the thread. Operations that still wait are not run. */
    @Override
    public void close() {
        duty.close();
    }

    /** Offers an operation. Returns false if the ring is full. */
    boolean offer(RecordMeters.Event kind, Event event) {
        boolean accepted = duty.offer(event);
        if (!accepted) {
            meters.countRingRefusal(kind);
        }
        return accepted;
    }

    /** Offers an operation that must not be lost; it waits beside the ring if the ring is full. */
    void offerAlways(RecordMeters.Event kind, Event event) {
        if (!offer(kind, event)) {
            overflow.add(event);
        }
    }

    private void handle(Event event) {
        handler.accept(event);
        drainOverflow();
    }

    private void tick(long nowNanos) {
        drainOverflow();
        ticker.accept(nowNanos);
    }

    private void drainOverflow() {
        for (Event event = overflow.poll(); event != null; event = overflow.poll()) {
            handler.accept(event);
        }
    }
}
