package org.heatherreach.coordination.member;

import java.util.concurrent.TimeUnit;

/**
 * Intervals of failure detection. Immutable and safe for use by any thread.
 *
 * @param pingIntervalNanos the time between two pings of this daemon
 * @param ackTimeoutNanos the time after which an unacknowledged ping is repeated through relays
 * @param suspicionNanos the time that a suspect has to refute the suspicion
 * @param forgetNanos the time that the entry of a member that is dead or has left is kept, so that late updates don't
 *     revive it
 * @param contactIntervalNanos the time between two pings to addresses at which no reachable member is known
 */
public record MemberSettings(
        long pingIntervalNanos,
        long ackTimeoutNanos,
        long suspicionNanos,
        long forgetNanos,
        long contactIntervalNanos) {
    /**
     * Number of members that relay an indirect ping, and of addresses that are pinged at once if no member is known.
     */
    static final int RELAY_COUNT = 3;

    /** Number of members that a new update is pushed to at once. */
    static final int PUSH_FANOUT = 3;

    /** Sustained rate of pushed packets; with {@link #PUSH_BURST} it keeps bursts of updates under 3 KB/s. */
    static final double PUSH_PER_SECOND = 2;

    /** Capacity of the token bucket for pushed packets. */
    static final double PUSH_BURST = 12;

    /** One ping in this many also requests a page of members, which repairs lost updates. */
    static final int REPAIR_PERIOD = 8;

    /** New members within {@link #MASS_JOIN_WINDOW_NANOS} that cause a full sync, as after a network partition. */
    static final int MASS_JOIN_THRESHOLD = 8;

    static final long MASS_JOIN_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Minimum time between the starts of two full syncs. At 880 members a full sync transfers about 110 KB, so full
     * syncs follow each other only while they bring members that were not known.
     */
    static final long SYNC_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Creates settings.
     *
     * @throws IllegalArgumentException if an interval is not positive
     */
    public MemberSettings {
        if (pingIntervalNanos <= 0
                || ackTimeoutNanos <= 0
                || suspicionNanos <= 0
                || forgetNanos <= 0
                || contactIntervalNanos <= 0) {
            throw new IllegalArgumentException("intervals must be positive");
        }
        if (ackTimeoutNanos >= pingIntervalNanos) {
            throw new IllegalArgumentException("the ack timeout must be shorter than the ping interval");
        }
    }

    /**
     * Returns the intervals of the design page. Entries of members that are dead or have left are kept for 10 minutes.
     */
    public static MemberSettings standard() {
        return new MemberSettings(
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(300),
                TimeUnit.SECONDS.toNanos(3),
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.SECONDS.toNanos(5));
    }
}
