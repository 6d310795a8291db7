package org.heatherreach.daemon.site;

import org.heatherreach.state.store.StoreRevision;

/**
 * The revision of the store that was last reported to a group of peers. A new one is reported several times, because
 * datagrams get lost and a daemon without load reports nothing else.
 *
 * <p>Safe for use by any thread.
 */
final class ReportedRevision {
    private static final int REPORTS = 3;

    private StoreRevision revision = StoreRevision.NONE;
    private int reports;

    /** Returns whether a revision has not been reported often enough. */
    synchronized boolean isUnreported(StoreRevision currentRevision) {
        return !currentRevision.equals(revision) || (!revision.equals(StoreRevision.NONE) && reports < REPORTS);
    }

    /** Records a report of a revision. */
    synchronized void recordReport(StoreRevision reportedRevision) {
        reports = reportedRevision.equals(revision) ? reports + 1 : 1;
        revision = reportedRevision;
    }
}
