package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.rank.Rank;

/**
 * What one request has charged to the {@link MemoryBudget}. It has a holder for each part of the work that may keep bytes
 * of the request, because an execution with a key goes on after its caller has disconnected.
 *
 * <p>Invariants: the bytes are returned exactly once, when the last holder has released the charge; nothing is added
 * afterwards.
 *
 * <p>Safe for use by any thread.
 */
final class MemoryCharge {
    /** For the head of a request and the objects that process it. */
    static final long REQUEST_BYTES = 16 * 1024;
    /** For a body that passes through: what is read ahead, and what one peer has not taken yet. */
    static final long STREAM_BYTES = 128 * 1024;

    private final MemoryBudget budget;
    private final Rank rank;
    private long chargedBytes;
    private int holders = 1;

    MemoryCharge(MemoryBudget budget, Rank rank) {
        this.budget = Objects.requireNonNull(budget, "budget");
        this.rank = Objects.requireNonNull(rank, "rank");
    }

    /** Adds bytes without which the request must be refused; returns whether they fit. */
    synchronized boolean tryAdd(long bytes) {
        return holders > 0 && count(bytes, budget.tryAdd(rank, bytes));
    }

    /** Adds bytes for a buffer that the request can do without; returns whether they fit. */
    synchronized boolean tryAddBuffer(long bytes) {
        return holders > 0 && count(bytes, budget.tryAddBuffer(rank, bytes));
    }

    /** Adds bytes that are held in any case, even above the limit. */
    synchronized void addUnchecked(long bytes) {
        if (holders > 0) {
            budget.addUnchecked(bytes);
            chargedBytes += bytes;
        }
    }

    /** Adds a holder; has no effect once the charge has been returned. */
    synchronized MemoryCharge retain() {
        if (holders > 0) {
            holders++;
        }
        return this;
    }

    /** Removes a holder and returns the bytes if it was the last one. */
    synchronized void release() {
        if (holders == 0) {
            return;
        }
        holders--;
        if (holders == 0) {
            budget.giveBack(chargedBytes);
            chargedBytes = 0;
        }
    }

    private boolean count(long bytes, boolean added) {
        if (added) {
            chargedBytes += bytes;
        }
        return added;
    }
}
