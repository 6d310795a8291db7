package org.heatherreach.coordination.slot;

import org.heatherreach.state.id.IncarnationId;

/**
 * Decides when a pool reports to the owner, numbers the reports and keeps the send times of the latest ones.
 *
 * <p>Invariants: report numbers only grow; no report is due while there is no owner; a report that was sent to an
 * earlier owner has no send time. Confined to the thread of its pool.
 */
final class ReportSchedule {
    /** The shortest time between two reports, so that a burst of events costs one report. */
    private static final long MIN_GAP_NANOS = 500_000L;

    /**
     * The number of reports whose send time is kept. A grant extends the leases, counted from the send time of the
     * report that it answers.
     */
    private static final int HISTORY_SIZE = 32;

    private final long[] sentNanos = new long[HISTORY_SIZE];
    private IncarnationId owner;
    private long lastNumber;
    private long lastReportNanos;
    private boolean hasReported;
    private boolean pending;

    ReportSchedule(long nowNanos) {
        lastReportNanos = nowNanos;
    }

    /** Returns the owner that reports are sent to; null while none is known. */
    IncarnationId owner() {
        return owner;
    }

    boolean isOwner(IncarnationId sender) {
        return sender.equals(owner);
    }

    /**
     * Sets the owner and skips the numbers of earlier reports, whose late answers must not extend leases that the new
     * owner grants.
     */
    void setOwner(IncarnationId newOwner) {
        owner = newOwner;
        lastNumber += HISTORY_SIZE;
    }

    /** Requests a report. */
    void request() {
        pending = true;
    }

    /** Requests a report if the condition holds. */
    void requestIf(boolean condition) {
        pending |= condition;
    }

    /** Returns whether a report was requested and may be sent now. */
    boolean isDue(long nowNanos) {
        return pending && owner != null && !(hasReported && nowNanos - lastReportNanos < MIN_GAP_NANOS);
    }

    /** Returns whether the interval of regular reports has passed. */
    boolean isRegularReportDue(long nowNanos) {
        return nowNanos - lastReportNanos >= LeasedSlotPool.REPORT_INTERVAL_NANOS;
    }

    /** Starts the next interval of regular reports, whether or not there was anything to report. */
    void startInterval(long nowNanos) {
        lastReportNanos = nowNanos;
    }

    /** Records that a report is sent now and returns its number. */
    long recordReport(long nowNanos) {
        pending = false;
        hasReported = true;
        lastReportNanos = nowNanos;
        lastNumber++;
        sentNanos[indexOf(lastNumber)] = nowNanos;
        return lastNumber;
    }

    /** Returns whether the send time of a report is known. */
    boolean isKnown(long number) {
        return number > 0 && number <= lastNumber && lastNumber - number < HISTORY_SIZE;
    }

    /** Returns when a report was sent whose send time is known. */
    long sentNanos(long number) {
        return sentNanos[indexOf(number)];
    }

    /** Returns when the next report may have to be sent. */
    long nextReportNanos() {
        return lastReportNanos + (isPending() ? MIN_GAP_NANOS : LeasedSlotPool.REPORT_INTERVAL_NANOS);
    }

    /** Returns whether a requested report waits for the shortest time between two reports. */
    boolean isPending() {
        return pending && owner != null;
    }

    private static int indexOf(long number) {
        return (int) (number % HISTORY_SIZE);
    }
}
