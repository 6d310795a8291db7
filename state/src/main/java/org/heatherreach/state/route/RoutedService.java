package org.heatherreach.state.route;

import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * A service that routes may refer to. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param healthPath the path of the health check of its servers
 * @param connections the maximum number of connections that one server accepts from all callers together
 */
public record RoutedService(ServiceId service, String healthPath, int connections) {
    /** Creates a service. */
    public RoutedService {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(healthPath, "healthPath");
    }
}
