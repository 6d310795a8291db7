package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Decides when this daemon reports its loads to the peers of its zone, or to those of other zones.
 *
 * <p>Invariants: the regular reports of a daemon to one group of peers cost about {@link #PACKETS_PER_SECOND}, however
 * many daemons there are; each slot of a server is the share of one daemon, so the reports only help to use the slots of
 * others. While requests fail or wait, the reports are more frequent, because the peers share the retry budget and the
 * free slots; their cost grows with the number of peers only.
 *
 * <p>Confined to one duty thread, apart from {@link #validityNanos}.
 */
public final class LoadReportSchedule {
    private static final int PACKETS_PER_SECOND = 25;
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long MIN_URGENT_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(4);
    /** Each urgent report goes to every peer, so with more peers than this the gaps between reports grow. */
    private static final int PEERS_AT_FULL_RATE = 12;
    /** A report stays valid for this number of intervals, so that the loss of one datagram is made up for. */
    private static final double VALID_INTERVALS = 2.5;

    private final PoolPeers peers;
    private final boolean sameZone;
    private long dueNanos;
    private boolean hadLoads;

    LoadReportSchedule(PoolPeers peers, boolean sameZone, long nowNanos) {
        this.peers = Objects.requireNonNull(peers, "peers");
        this.sameZone = sameZone;
        this.dueNanos = nowNanos;
    }

    /** Returns the time after which the loads that a peer reported expire unless it reports them again. */
    public static long validityNanos(PoolPeers peers) {
        long longestNanos = Math.max(intervalNanos(peers.peerCount(true)), intervalNanos(peers.peerCount(false)));
        return (long) (VALID_INTERVALS * longestNanos);
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    long dueNanos() {
        return dueNanos;
    }

    /** Returns whether the last report contained loads. */
    boolean hadLoads() {
        return hadLoads;
    }

    /** Records a report and sets the time of the next one. */
    void reported(long nowNanos, boolean withLoads) {
        hadLoads = withLoads;
        dueNanos = nowNanos + intervalNanos(peers.peerCount(sameZone));
    }

    /** Makes the next report due earlier, because requests fail or wait. */
    void advance(long nowNanos) {
        int peerCount = peers.peerCount(true) + peers.peerCount(false);
        double scale = (double) Math.max(PEERS_AT_FULL_RATE, peerCount) / PEERS_AT_FULL_RATE;
        // Scaled twice: each report costs one packet per peer, and the number of daemons that report also grows with
        // the number of peers.
        long urgentNanos = nowNanos + (long) (MIN_URGENT_GAP_NANOS * scale * scale);
        if (urgentNanos - dueNanos < 0) {
            dueNanos = urgentNanos;
        }
    }

    private static long intervalNanos(int peerCount) {
        return Math.max(MIN_INTERVAL_NANOS, TimeUnit.SECONDS.toNanos(1) * peerCount / PACKETS_PER_SECOND);
    }
}
