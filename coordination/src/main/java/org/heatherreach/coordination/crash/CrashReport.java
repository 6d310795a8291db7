package org.heatherreach.coordination.crash;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * The requests that one daemon had in flight on a server when the server crashed. Immutable and safe for use by any
 * thread.
 *
 * @param service the service of the server
 * @param server the server whose connections all broke
 * @param fingerprints the requests in flight on the server
 */
public record CrashReport(ServiceId service, ServerId server, List<Fingerprint> fingerprints) {
    /** Creates a report. */
    public CrashReport {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(server, "server");
        fingerprints = List.copyOf(fingerprints);
    }
}
