package org.heatherreach.daemon.site;

import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.SuspectUpdate;

/** Reports crashes of servers to other daemons. Implementations are safe for use by any thread and must not block. */
interface CrashPeers {
    /** A server crashed while requests of this daemon were in flight there. */
    void reportCrash(CrashReport report);

    /** Suspects completed, so they do not crash servers. */
    void reportCleared(SuspectUpdate update);
}
