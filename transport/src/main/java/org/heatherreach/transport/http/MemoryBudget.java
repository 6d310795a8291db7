package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.heatherreach.state.rank.Rank;

/**
 * Bounds the bytes that a daemon holds for its callers and servers: heads, bodies and responses of requests.
 *
 * <p>Invariants: a charge that may be refused never raises the used bytes above the limit of its rank, and thus never
 * above the capacity; used bytes are the sum of the charges that have not been returned.
 *
 * <p>Safe for use by any thread.
 */
public final class MemoryBudget {
    /** The rest of the heap is for tables, connections, copies in progress and garbage. */
    private static final int HEAP_PERCENT = 40;
    /** Buffering a body is optional, so it leaves room for the requests that must be accepted. */
    private static final int BUFFER_PERCENT = 75;

    private static final long NEVER = 0;

    private final long capacityBytes;
    private final LongSupplier clock;
    private final AtomicLong usedBytes = new AtomicLong();
    private final AtomicLong refusals = new AtomicLong();
    private final AtomicLong unbuffered = new AtomicLong();
    /** Since when not even a request of the most urgent rank fits. */
    private final AtomicLong exhaustedSinceNanos = new AtomicLong(NEVER);

    /**
     * Creates an empty budget.
     *
     * @param clock returns the nanoseconds of a monotonic clock
     * @throws IllegalArgumentException if the capacity is not positive
     */
    public MemoryBudget(long capacityBytes, LongSupplier clock) {
        if (capacityBytes < 1) {
            throw new IllegalArgumentException("the capacity must be positive");
        }
        this.capacityBytes = capacityBytes;
        this.clock = Objects.requireNonNull(clock, "clock");
    }

    /** Returns a budget whose capacity is a fixed share of the maximum heap of this process. */
    public static MemoryBudget ofHeap() {
        return new MemoryBudget(Runtime.getRuntime().maxMemory() / 100 * HEAP_PERCENT, System::nanoTime);
    }

    /** Returns the most that refusable charges may use together. */
    public long capacityBytes() {
        return capacityBytes;
    }

    /** Returns the sum of all charges that have not been returned. */
    public long usedBytes() {
        return usedBytes.get();
    }

    /** Returns how many requests did not fit. */
    public long refusals() {
        return refusals.get();
    }

    /** Returns how many bodies were not buffered because they did not fit. */
    public long unbuffered() {
        return unbuffered.get();
    }

    /** Returns whether for the given time not even a request of the most urgent rank has fitted. */
    public boolean isExhaustedFor(long durationNanos) {
        long sinceNanos = exhaustedSinceNanos.get();
        return sinceNanos != NEVER && clock.getAsLong() - sinceNanos >= durationNanos;
    }

    /** Opens the empty charge of a request, which has one holder. */
    MemoryCharge open(Rank rank) {
        return new MemoryCharge(this, rank);
    }

    /** Returns up to how many used bytes a request of the rank is accepted. */
    long limitBytes(Rank rank) {
        return switch (rank) {
            case URGENT -> capacityBytes;
            case STANDARD -> capacityBytes / 100 * 85;
            case BULK -> capacityBytes / 100 * 70;
        };
    }

    /** Adds bytes without which a request can't be accepted; returns whether they fit. */
    boolean tryAdd(Rank rank, long bytes) {
        if (addWithin(limitBytes(rank), bytes)) {
            return true;
        }
        refusals.incrementAndGet();
        if (usedBytes.get() + bytes > capacityBytes) {
            exhaustedSinceNanos.compareAndSet(NEVER, nonZero(clock.getAsLong()));
        }
        return false;
    }

    /** Adds bytes for a buffer that the request can do without; returns whether they fit. */
    boolean tryAddBuffer(Rank rank, long bytes) {
        boolean added = addWithin(limitBytes(rank) / 100 * BUFFER_PERCENT, bytes);
        if (!added) {
            unbuffered.incrementAndGet();
        }
        return added;
    }

    /** Adds bytes that are held in any case, such as a part of a response whose request has run. */
    void addUnchecked(long bytes) {
        usedBytes.addAndGet(bytes);
    }

    void giveBack(long bytes) {
        long leftBytes = usedBytes.addAndGet(-bytes);
        if (leftBytes <= limitBytes(Rank.STANDARD)) {
            exhaustedSinceNanos.set(NEVER);
        }
    }

    private boolean addWithin(long limitBytes, long bytes) {
        long before = usedBytes.get();
        while (before <= limitBytes - bytes) {
            if (usedBytes.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = usedBytes.get();
        }
        return false;
    }

    private static long nonZero(long nanos) {
        return nanos == NEVER ? 1 : nanos;
    }
}
