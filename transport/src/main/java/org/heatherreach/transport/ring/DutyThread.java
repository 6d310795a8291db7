package org.heatherreach.transport.ring;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * One thread that owns the state of one duty and takes events from a bounded ring.
 *
 * <p>Invariants: events are handled one at a time in the order in which they were accepted; an event that was
 * accepted is handled unless the thread is closed first; a full ring refuses the event and counts it.
 * The tick runs on the same thread and never at the same time as an event, at the latest one interval after the last.
 *
 * <p>Thread safety: {@link #offer} may be called by any thread; the handler and the tick run on the duty thread only.
 *
 * @param <E> the type of the events
 */
public final class DutyThread<E> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(DutyThread.class);

    private final MpscArrayQueue<E> ring;
    private final Consumer<E> handler;
    private final LongConsumer tick;
    private final long tickIntervalNanos;
    private final AtomicLong refusedEvents = new AtomicLong();
    private final AtomicLong failedEvents = new AtomicLong();
    private final Thread thread;
    private volatile boolean running = true;
    private volatile boolean parked;
    private long tickDeadlineNanos;

    /**
     * Creates a duty; {@link #start} starts its thread.
     *
     * @param name the name of the thread
     * @param ringCapacity the number of events that the ring holds, rounded up to a power of two
     * @param handler handles one event
     * @param tick called with the current time after each tick interval, or sooner after {@link #tickBy}
     * @param tickIntervalNanos the greatest time between two ticks
     * @throws IllegalArgumentException if the capacity or the interval is not positive
     */
    public DutyThread(String name, int ringCapacity, Consumer<E> handler, LongConsumer tick, long tickIntervalNanos) {
        if (ringCapacity < 2 || tickIntervalNanos <= 0) {
            throw new IllegalArgumentException("ring capacity must be at least 2 and the tick interval positive");
        }
        this.ring = new MpscArrayQueue<>(ringCapacity);
        this.handler = Objects.requireNonNull(handler, "handler");
        this.tick = Objects.requireNonNull(tick, "tick");
        this.tickIntervalNanos = tickIntervalNanos;
        this.thread = new Thread(this::run, name);
        this.thread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Hands an event to the duty.
     *
     * @return whether the ring had room; a refused event is counted and not handled
     */
    public boolean offer(E event) {
        if (!running || !ring.offer(event)) {
            refusedEvents.incrementAndGet();
            return false;
        }
        if (parked) {
            LockSupport.unpark(thread);
        }
        return true;
    }

    /** Brings the next tick forward to a deadline; only the handler and the tick may call it. */
    public void tickBy(long deadlineNanos) {
        if (deadlineNanos - tickDeadlineNanos < 0) {
            tickDeadlineNanos = deadlineNanos;
        }
    }

    /** Returns how many events were refused because the ring was full or the duty closed. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** Returns how many events or ticks ended with an exception. */
    public long failedEvents() {
        return failedEvents.get();
    }

    /** Returns how many events wait in the ring. */
    public int waitingEvents() {
        return ring.size();
    }

    /** Stops the thread after the events that were accepted, and waits up to a second for its end. */
    @Override
    public void close() {
        running = false;
        LockSupport.unpark(thread);
        if (Thread.currentThread() == thread) {
            return;
        }
        try {
            thread.join(TimeUnit.SECONDS.toMillis(1));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        tickDeadlineNanos = System.nanoTime() + tickIntervalNanos;
        while (running || !ring.isEmpty()) {
            E event = ring.poll();
            if (event != null) {
                handle(event);
            }
            long nowNanos = System.nanoTime();
            if (nowNanos - tickDeadlineNanos >= 0) {
                // Set before the tick, which may bring the next one forward.
                tickDeadlineNanos = nowNanos + tickIntervalNanos;
                runTick(nowNanos);
            } else if (event == null) {
                parkUntil(tickDeadlineNanos - nowNanos);
            }
        }
    }

    private void parkUntil(long waitNanos) {
        parked = true;
        // The second look closes the race with an offer that saw the thread as not parked.
        if (ring.isEmpty() && running) {
            LockSupport.parkNanos(this, waitNanos);
        }
        parked = false;
    }

    private void handle(E event) {
        try {
            handler.accept(event);
        } catch (RuntimeException e) {
            countFailure(e);
        }
    }

    private void runTick(long nowNanos) {
        try {
            tick.accept(nowNanos);
        } catch (RuntimeException e) {
            countFailure(e);
        }
    }

    private void countFailure(RuntimeException failure) {
        // Only the first failure is logged; later ones are counted, so that a repeating fault can't flood the log.
        if (failedEvents.getAndIncrement() == 0) {
            LOG.errorf(failure, "Duty %s failed on an event", thread.getName());
        }
    }
}
