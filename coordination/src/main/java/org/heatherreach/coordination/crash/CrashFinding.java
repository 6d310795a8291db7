package org.heatherreach.coordination.crash;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * The conclusions that the owner of a service draws from a crash report or a clearing. Immutable and safe for use by
 * any thread.
 *
 * @param update the changes to send to all daemons of the region; may be empty
 * @param explained the crashes that are newly attributed to an identified request and are no evidence against their
 *     servers
 */
public record CrashFinding(SuspectUpdate update, List<ExplainedCrash> explained) {
    /** Creates a finding. */
    public CrashFinding {
        Objects.requireNonNull(update, "update");
        explained = List.copyOf(explained);
    }

    /**
     * A crash that is attributed to an identified request.
     *
     * @param server the server that crashed
     * @param crashNanos when the crash was first reported, on the owner's monotonic clock
     */
    public record ExplainedCrash(ServerId server, long crashNanos) {
        /** Creates an entry. */
        public ExplainedCrash {
            Objects.requireNonNull(server, "server");
        }
    }
}
