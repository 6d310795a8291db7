package org.heatherreach.daemon.fleet;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.transport.ring.DutyThread;

/**
 * The thread of a duty with its bounded ring, and an overflow for events that must not be lost while the ring is full.
 *
 * <p>Invariants: events that were accepted are handled in order; an event in the overflow is handled after every event
 * that was in the ring when it was added.
 *
 * <p>Thread safety: {@link #offer} and {@link #offerAlways} are safe for use by any thread.
 *
 * @param <E> the type of the events
 */
final class DutyRing<E> implements AutoCloseable {
    private final DutyThread<E> thread;
    private final Consumer<E> handler;
    private final LongConsumer tick;
    private final long orderedEvents;
    private final Queue<Overflow<E>> overflow = new ConcurrentLinkedQueue<>();
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
        // The ring rounds its capacity up to a power of two, so it holds fewer events than this.
        this.orderedEvents = 2L * capacity;
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

    /** Hands over an event; returns false if the ring is full, which is counted. */
    boolean offer(E event) {
        return thread.offer(event);
    }

    /** Hands over an event that must not be lost. */
    void offerAlways(E event) {
        if (!thread.offer(event)) {
            overflow.add(new Overflow<>(event, handledEvents + orderedEvents));
        }
    }

    /** Brings the next tick forward to a deadline; only the handler and the tick may call it. */
    void tickBy(long deadlineNanos) {
        thread.tickBy(deadlineNanos);
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
        Overflow<E> next = overflow.peek();
        while (next != null && (handledEvents >= next.eligibleAt() || thread.waitingEvents() == 0)) {
            overflow.poll();
            handler.accept(next.event());
            next = overflow.peek();
        }
    }

    private record Overflow<E>(E event, long eligibleAt) {}
}
