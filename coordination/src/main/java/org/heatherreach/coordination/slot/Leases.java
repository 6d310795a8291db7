package org.heatherreach.coordination.slot;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import org.heatherreach.state.rank.Rank;

/**
 * What the owner of a service part has granted to a pool: leased slots, caps of the ranks and the idle target.
 *
 * <p>Invariants: grants and recalls are applied in the order of their sequence; expired leases are dropped and are not
 * restored by a delayed message. Confined to the thread of its pool.
 */
final class Leases {
    /** A daemon without leases waits this long for its first grant before it uses its local share. */
    private static final long FIRST_GRANT_TIMEOUT_NANOS = 500_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int UNLIMITED = Integer.MAX_VALUE;

    private final LeasedServers servers;
    private final ReportSchedule reports;
    private final int[] caps = new int[Rank.values().length];
    private int idleTarget = UNLIMITED;
    private long appliedSequence;

    /** When the leases expire; before the first grant, when the wait for it ends. */
    private long deadlineNanos;

    private boolean expired;

    Leases(LeasedServers servers, ReportSchedule reports, long nowNanos) {
        this.servers = Objects.requireNonNull(servers, "servers");
        this.reports = Objects.requireNonNull(reports, "reports");
        Arrays.fill(caps, UNLIMITED);
        awaitFirstGrant(nowNanos);
    }

    /** Starts to wait for a first grant, as in a new pool; the caps and the idle target stay. */
    void awaitFirstGrant(long nowNanos) {
        deadlineNanos = nowNanos + FIRST_GRANT_TIMEOUT_NANOS;
        expired = false;
    }

    /** Drops the leases if their deadline has passed. */
    void dropIfExpired(long nowNanos) {
        if (!expired && isPastDeadline(nowNanos)) {
            expired = true;
            servers.dropLeases();
        }
    }

    /** Returns whether the leases were dropped, or no first grant arrived, and no grant has renewed them since. */
    boolean isExpired() {
        return expired;
    }

    boolean isPastDeadline(long nowNanos) {
        return deadlineNanos - nowNanos <= 0;
    }

    int cap(Rank rank) {
        return caps[rank.ordinal()];
    }

    /** Returns the number of idle slots that the pool keeps. */
    int idleTarget() {
        return idleTarget;
    }

    /** Returns the sequence of the latest message that was applied; zero if there was none of this owner. */
    long appliedSequence() {
        return appliedSequence;
    }

    /** Restarts the sequence, because another daemon has become the owner. The leases stay valid until they expire. */
    void restartSequence() {
        appliedSequence = 0;
    }

    /** Applies a grant of the owner. */
    void apply(SlotGrant grant, long nowNanos) {
        extend(grant);
        if (grant.sequence() >= appliedSequence) {
            idleTarget = grant.idleTarget();
            applyCaps(grant.rankCaps());
        }
        if (!isPastDeadline(nowNanos)) {
            expired = false;
        }
        apply(grant.leases(), grant.sequence(), nowNanos);
    }

    /** Applies a recall of the owner, unless a later message was applied before. */
    void apply(SlotRecall recall, long nowNanos) {
        if (recall.sequence() > appliedSequence) {
            apply(recall.leases(), recall.sequence(), nowNanos);
            // The owner needs a report that confirms the recall, even if an earlier report that returned the slots
            // has crossed the recall.
            reports.request();
        }
    }

    /** Extends the leases, counted from the send time of the report that a grant answers. */
    private void extend(SlotGrant grant) {
        if (!reports.isKnown(grant.reportNumber())) {
            return;
        }
        long newDeadlineNanos = reports.sentNanos(grant.reportNumber()) + grant.validMillis() * NANOS_PER_MILLI;
        if (newDeadlineNanos - deadlineNanos > 0) {
            deadlineNanos = newDeadlineNanos;
        }
    }

    private void applyCaps(List<Integer> rankCaps) {
        for (int rank = 0; rank < Math.min(caps.length, rankCaps.size()); rank++) {
            caps[rank] = rankCaps.get(rank);
        }
    }

    private void apply(List<SlotLease> leases, long sequence, long nowNanos) {
        dropIfExpired(nowNanos);
        if (sequence <= appliedSequence) {
            return;
        }
        appliedSequence = sequence;
        if (expired) {
            // The message was delayed, as by a pause of this process, until the leases had expired; the owner may have
            // leased the slots to other daemons since.
            return;
        }
        for (SlotLease lease : leases) {
            LeasedServer server = servers.findOrAdd(lease.server());
            // The owner can lease a returned slot to another daemon only after the next report.
            reports.requestIf(lease.count() < server.held);
            server.held = lease.count();
        }
    }
}
