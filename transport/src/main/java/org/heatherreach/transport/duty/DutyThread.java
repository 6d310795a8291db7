package org.heatherreach.transport.duty;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.jboss.logging.Logger;
import org.jctools.queues.MpscArrayQueue;

/**
 * A single-threaded event loop that owns the state of one duty of the daemon, such as membership, and takes events from
 * a bounded ring buffer.
 *
 * <p>Invariants: events are handled one at a time in the order in which they were accepted; an event that was
 * accepted is handled unless the thread is closed first; an event that arrives while the ring buffer is full is refused
 * and counted, or deferred if it must not be lost. Events that must not be lost are handled in the order in which they
 * were added, and after every event that was accepted before them. The tick runs on the same thread, never concurrently
 * with an event, and becomes due one interval after the last tick at the latest. Nothing that the handler or the tick
 * throws ends the thread.
 *
 * <p>Thread safety: {@link #offer} and {@link #offerAlways} may be called by any thread; the handler and the tick run on
 * this thread only.
 *
 * @param <E> the type of the events
 */
public final class DutyThread<E> implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(DutyThread.class);

    private final MpscArrayQueue<E> ring;
    private final Queue<Deferred<E>> deferred = new ConcurrentLinkedQueue<>();
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
     * Creates the thread; {@link #start} starts it.
     *
     * @param name the name of the thread
     * @param ringCapacity the number of events that the ring buffer holds, rounded up to a power of two
     * @param handler handles one event
     * @param tick called with the time of {@link System#nanoTime} after each interval, or earlier if {@link #advanceTickTo}
     *     set a deadline
     * @param tickIntervalNanos the longest time from one tick until the next is due
     * @throws IllegalArgumentException if the capacity is less than 2 or the interval is not positive
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
     * Adds an event to the ring buffer.
     *
     * @return whether the event was accepted; a refused event is counted and not handled
     */
    public boolean offer(E event) {
        if (!running || !ring.offer(event)) {
            refusedEvents.incrementAndGet();
            return false;
        }
        unparkIfParked();
        return true;
    }

    /**
     * Adds an event that must not be lost: it is deferred while the ring buffer is full or earlier deferred events wait,
     * and refused only once the thread is closed.
     */
    public void offerAlways(E event) {
        if (!running) {
            refusedEvents.incrementAndGet();
            return;
        }
        if (!deferred.isEmpty() || !ring.offer(event)) {
            // Every event that the ring holds now has a lower index and has to be handled first.
            deferred.add(new Deferred<>(event, ring.currentProducerIndex()));
        }
        unparkIfParked();
    }

    /** Moves the next tick forward to a deadline. Only the handler and the tick may call this method. */
    public void advanceTickTo(long deadlineNanos) {
        if (deadlineNanos - tickDeadlineNanos < 0) {
            tickDeadlineNanos = deadlineNanos;
        }
    }

    /** Returns how many events were refused because the ring buffer was full or the thread was closed. */
    public long refusedEvents() {
        return refusedEvents.get();
    }

    /** Returns how many calls of the handler or the tick ended with an exception or an error. */
    public long failedEvents() {
        return failedEvents.get();
    }

    /** Returns how many events wait in the ring buffer; deferred events are not counted. */
    public int waitingEvents() {
        return ring.size();
    }

    /** Stops the thread after the accepted events have been handled, and waits up to a second for it to terminate. */
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
        while (running || hasEvents()) {
            E event = nextEvent();
            if (event != null) {
                handle(event);
            }
            long nowNanos = System.nanoTime();
            if (nowNanos - tickDeadlineNanos >= 0) {
                // Set before the tick runs, because the tick may move the next deadline forward.
                tickDeadlineNanos = nowNanos + tickIntervalNanos;
                runTick(nowNanos);
            } else if (event == null) {
                parkUntil(tickDeadlineNanos - nowNanos);
            }
        }
    }

    private boolean hasEvents() {
        return !ring.isEmpty() || !deferred.isEmpty();
    }

    private E nextEvent() {
        Deferred<E> first = deferred.peek();
        if (first != null && ring.currentConsumerIndex() - first.ringIndex >= 0) {
            deferred.poll();
            return first.event;
        }
        return ring.poll();
    }

    private void unparkIfParked() {
        if (parked) {
            LockSupport.unpark(thread);
        }
    }

    private void parkUntil(long waitNanos) {
        parked = true;
        // Checking the ring again after the flag is set closes the race with an offer that read the flag as false
        // and therefore doesn't unpark the thread.
        if (!hasEvents() && running) {
            LockSupport.parkNanos(this, waitNanos);
        }
        parked = false;
    }

    private void handle(E event) {
        try {
            handler.accept(event);
        } catch (Throwable e) {
            countFailure(e);
        }
    }

    private void runTick(long nowNanos) {
        try {
            tick.accept(nowNanos);
        } catch (Throwable e) {
            countFailure(e);
        }
    }

    private void countFailure(Throwable failure) {
        // Only the first failure is logged; later ones are counted, so that a repeating fault can't flood the log.
        if (failedEvents.getAndIncrement() == 0) {
            LOG.errorf(
                    failure,
                    "Duty thread %s failed on an event or a tick; its later failures are counted but not logged",
                    thread.getName());
        }
    }

    /** An event that is handled once the events of the ring buffer with a lower index have been handled. */
    private record Deferred<E>(E event, long ringIndex) {}
}
