package org.heatherreach.coordination.health;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * The evidence of one daemon for one service part. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param part the part of the service
 * @param zone the zone of the reporting daemon
 * @param evidence one entry per server with traffic
 */
public record HealthReport(ServiceId service, int part, ZoneId zone, List<ServerEvidence> evidence) {
    /** Creates a report. */
    public HealthReport {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(zone, "zone");
        evidence = List.copyOf(evidence);
    }
}
