package org.heatherreach.coordination.poison;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * What the owner concluded from a crash. Immutable and safe for use by any thread.
 *
 * @param update the changes to send to all daemons of the region; may hold no suspects
 * @param explained crashes that an identified request explains, which are no evidence against their servers
 */
public record CrashFinding(SuspectUpdate update, List<ExplainedCrash> explained) {
    /** Creates a finding. */
    public CrashFinding {
        Objects.requireNonNull(update, "update");
        explained = List.copyOf(explained);
    }

    /**
     * A crash that an identified request explains.
     *
     * @param server the server that crashed
     * @param crashNanos when the crash was first reported, by the owner's clock
     */
    public record ExplainedCrash(ServerId server, long crashNanos) {
        /** Creates an entry. */
        public ExplainedCrash {
            Objects.requireNonNull(server, "server");
        }
    }
}
