package org.heatherreach.coordination.watch;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.store.StoreRevision;

/**
 * Detects a watch of the store that no longer receives changes, by comparing the revision that it has read with the
 * revisions that other daemons report. A connection that carries nothing more can't be told from a store without changes
 * in any other way until the poll times out.
 *
 * <p>A report of a peer sets a deadline by which the watch has to reach the reported revision. If it does not, the watch
 * has to be restarted, and gets twice the time with each restart that brings no progress.
 *
 * <p>Revisions are compared by era first. A peer that has not yet noticed that the store came back from an older copy
 * reports a revision of the earlier era, which is never newer, however large its number is.
 *
 * <p>Invariants: a watch that reaches each reported revision in time is never restarted; a revision that the store does
 * not know, as the responses after a restart show, is not awaited again.
 *
 * <p>Confined to one thread, or guarded by the caller.
 */
public final class WatchMonitor {
    /** Bounds the time between restarts to eight times the tolerance. */
    private static final int MAX_DOUBLINGS = 3;

    /**
     * How many responses after a restart show that the store does not know a revision: the first one may belong to a call
     * from before.
     */
    private static final int REFUTING_RESPONSES = 2;

    private final long toleranceNanos;
    private StoreRevision ownRevision = StoreRevision.NONE;
    private StoreRevision peerRevision = StoreRevision.NONE;
    private StoreRevision awaitedRevision = StoreRevision.NONE;
    private long restartDeadlineNanos;
    private int fruitlessRestarts;
    private boolean restarted;
    private int responsesSinceRestart;
    /** Reports of this revision and later ones are ignored until the watch has reached it. */
    private Option<StoreRevision> unknownRevision = Option.none();

    /**
     * Creates a monitor of a watch at revision 0.
     *
     * @param toleranceNanos how much later than its peers a daemon may read a change
     * @throws IllegalArgumentException if the tolerance is not positive
     */
    public WatchMonitor(long toleranceNanos) {
        if (toleranceNanos <= 0) {
            throw new IllegalArgumentException("the tolerance must be positive: " + toleranceNanos);
        }
        this.toleranceNanos = toleranceNanos;
    }

    /** Records that the store has responded and every change up to this revision has been read. */
    public void recordOwnRevision(StoreRevision revision, long nowNanos) {
        ownRevision = newest(ownRevision, revision);
        unknownRevision = unknownRevision.filter(unknown -> unknown.isAfter(ownRevision));
        if (!isBehind()) {
            awaitNewest(nowNanos);
        } else if (!awaitedRevision.isAfter(ownRevision)) {
            fruitlessRestarts = 0;
            awaitNewest(nowNanos);
        } else if (restarted) {
            recordResponseAfterRestart(nowNanos);
        }
    }

    /** Gives up a revision that the store did not have in responses to calls that were made after the report. */
    private void recordResponseAfterRestart(long nowNanos) {
        responsesSinceRestart++;
        if (responsesSinceRestart >= REFUTING_RESPONSES) {
            unknownRevision = Option.some(awaitedRevision);
            peerRevision = ownRevision;
            fruitlessRestarts = 0;
            awaitNewest(nowNanos);
        }
    }

    /** Records the revision that another daemon has read. */
    public void recordPeerRevision(StoreRevision revision, long nowNanos) {
        if (unknownRevision.exists(unknown -> !unknown.isAfter(revision))) {
            return;
        }
        peerRevision = newest(peerRevision, revision);
        if (!isBehind()) {
            awaitNewest(nowNanos);
        }
    }

    /** Returns whether another daemon has read a newer revision. */
    public boolean isBehind() {
        return !awaitedRevision.equals(StoreRevision.NONE);
    }

    /** Returns the newest revision that another daemon has read. */
    public StoreRevision peerRevision() {
        return peerRevision;
    }

    /** Returns whether the watch has to be restarted now, and sets the deadline of the next restart if so. */
    public boolean restartIfDue(long nowNanos) {
        if (!isBehind() || nowNanos - restartDeadlineNanos < 0) {
            return false;
        }
        restarted = true;
        responsesSinceRestart = 0;
        fruitlessRestarts++;
        restartDeadlineNanos = nowNanos + allowedNanos();
        return true;
    }

    private void awaitNewest(long nowNanos) {
        restarted = false;
        // Before the first full read there is no watch yet.
        boolean hasRead = !ownRevision.equals(StoreRevision.NONE);
        awaitedRevision = hasRead && peerRevision.isAfter(ownRevision) ? peerRevision : StoreRevision.NONE;
        restartDeadlineNanos = nowNanos + allowedNanos();
    }

    private static StoreRevision newest(StoreRevision first, StoreRevision second) {
        return Objects.requireNonNull(second, "revision").isAfter(first) ? second : first;
    }

    private long allowedNanos() {
        return toleranceNanos << Math.min(MAX_DOUBLINGS, fruitlessRestarts);
    }
}
