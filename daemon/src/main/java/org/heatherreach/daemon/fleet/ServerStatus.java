package org.heatherreach.daemon.fleet;

import java.util.Objects;

/**
 * The status of one backend server as this daemon sees it. The components are written as JSON under their own names.
 * Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param server the server
 * @param zone the zone of the server
 * @param state {@code in-use}, {@code ejected}, {@code restricted}, {@code leaving} or {@code withheld}, the last if the
 *     floor does not allow an ejection
 * @param sharePercent the share of its usual traffic that the server may get
 * @param evidence the reason for the state; empty if there is none
 * @param sinceEpochMillis the time of the last change of the state
 */
public record ServerStatus(
        String service,
        String server,
        String zone,
        String state,
        int sharePercent,
        String evidence,
        long sinceEpochMillis) {
    /** Creates a status. */
    public ServerStatus {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(evidence, "evidence");
    }
}
