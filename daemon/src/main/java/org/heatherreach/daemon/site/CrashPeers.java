package org.heatherreach.daemon.site;

import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.SuspectUpdate;

/** Sends crash reports to the other daemons. Implementations are safe for use by any thread and must not block. */
interface CrashPeers {
    /** Reports that a server crashed while requests of this daemon were in flight there. */
    void reportCrash(CrashReport report);

    /** Reports that suspected requests completed and are therefore cleared. */
    void reportCleared(SuspectUpdate update);
}
