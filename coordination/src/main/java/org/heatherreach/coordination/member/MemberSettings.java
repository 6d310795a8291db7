package org.heatherreach.coordination.member;

import java.util.concurrent.TimeUnit;

/**
 * Intervals of the failure detection. Immutable and safe for use by any thread.
 *
 * @param pingIntervalNanos the time between two pings of this daemon
 * @param ackTimeoutNanos the time after which a ping is repeated through other members
 * @param suspicionNanos the time that a suspect has to refute
 * @param forgetNanos the time that a dead member is remembered, so that late updates don't revive it
 * @param contactIntervalNanos the time between two pings to addresses at which no live member is known
 */
public record MemberSettings(
        long pingIntervalNanos,
        long ackTimeoutNanos,
        long suspicionNanos,
        long forgetNanos,
        long contactIntervalNanos) {
    /** Number of members that an unanswered ping is repeated through. */
    static final int HELPERS = 3;

    /** Number of members that a fresh update is pushed to at once. */
    static final int PUSH_FANOUT = 3;

    /** Pushed packets per second, and how many may be saved up; both keep storms of updates under 3 KB/s. */
    static final double PUSH_PER_SECOND = 2;

    static final double PUSH_BURST = 12;

    /** One ping in this many also asks for a page of members, which repairs updates that were lost. */
    static final int REPAIR_PERIOD = 8;

    /** New members within {@link #MERGE_WINDOW_NANOS} that cause a full exchange of lists, as after a separation. */
    static final int MERGE_THRESHOLD = 8;

    static final long MERGE_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);

    /**
     * Least time between the starts of two full exchanges. At 880 members one takes about 110 KB, so exchanges follow
     * each other only while they bring members that were not known.
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

    /** Returns the intervals of the design page. Dead members are remembered for 10 minutes. */
    public static MemberSettings standard() {
        return new MemberSettings(
                TimeUnit.SECONDS.toNanos(1),
                TimeUnit.MILLISECONDS.toNanos(300),
                TimeUnit.SECONDS.toNanos(3),
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.SECONDS.toNanos(5));
    }
}
