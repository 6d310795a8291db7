package org.heatherreach.daemon.fleet;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.transport.duty.DutyThread;

/**
 * The thread of a duty with its bounded ring, and an overflow queue for events that must not be lost if the ring is
 * full.
 *
 * <p>Invariants: accepted events are handled in order; an event in the overflow queue is handled after every event that
 * was in the ring when it was added.
 *
 * <p>Thread safety: {@link #offer} and {@link #offerAlways} are safe for use by any thread.
 *
 * @param <E> the type of the events
 */
final class DutyRing<E> implements AutoCloseable {
    private final DutyThread<E> thread;
    private final Consumer<E> handler;
    private final LongConsumer tick;
    private final long maxRingEvents;
    private final Queue<OverflowEntry<E>> overflow = new ConcurrentLinkedQueue<>();
    private volatile long handledEvents;

    DutyRing(
            String name,
            int capacity,
            Consumer<E> handler,
            LongConsumer tick,
            long tickIntervalNanos,
            MeterRegistry registry) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.tick = Objects.requireNonNull(tick, "tick");
        // The ring rounds its capacity up to a power of two, which is less than twice the requested capacity.
        this.maxRingEvents = 2L * capacity;
        this.thread = new DutyThread<>(name, capacity, this::handle, this::runTick, tickIntervalNanos);
        FunctionCounter.builder("heatherreach.duty.events.refused", thread, DutyThread::refusedEvents)
                .tag("duty", name)
                .register(registry);
        FunctionCounter.builder("heatherreach.duty.events.failed", thread, DutyThread::failedEvents)
                .tag("duty", name)
                .register(registry);
        Gauge.builder("heatherreach.duty.events.waiting", thread, DutyThread::waitingEvents)
                .tag("duty", name)
                .register(registry);
    }

    void start() {
        thread.start();
    }

    /** Adds an event to the ring; returns false and counts the refusal if the ring is full. */
    boolean offer(E event) {
        return thread.offer(event);
    }

    /** Adds an event that must not be lost; it goes to the overflow queue if the ring is full. */
    void offerAlways(E event) {
        if (!thread.offer(event)) {
            overflow.add(new OverflowEntry<>(event, handledEvents + maxRingEvents));
        }
    }

    /** Moves the next tick forward to a deadline. Called by the handler and the tick only. */
    void advanceTickTo(long deadlineNanos) {
        thread.advanceTickTo(deadlineNanos);
    }

    @Override
    public void close() {
        thread.close();
    }

    private void handle(E event) {
        try {
            handler.accept(event);
        } finally {
            handledEvents++;
            drainOverflow();
        }
    }

    private void runTick(long nowNanos) {
        drainOverflow();
        tick.accept(nowNanos);
    }

    private void drainOverflow() {
        OverflowEntry<E> next = overflow.peek();
        while (next != null && (handledEvents >= next.minHandledEvents() || thread.waitingEvents() == 0)) {
            overflow.poll();
            handler.accept(next.event());
            next = overflow.peek();
        }
    }

    private record OverflowEntry<E>(E event, long minHandledEvents) {}
}
