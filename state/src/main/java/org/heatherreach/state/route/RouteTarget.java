package org.heatherreach.state.route;

import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * One of the services that share the requests of a route. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param weight the share of the service, relative to the weights of the other targets; not negative
 */
public record RouteTarget(ServiceId service, int weight) {
    /**
     * Creates a target.
     *
     * @throws IllegalArgumentException if the weight is negative
     */
    public RouteTarget {
        Objects.requireNonNull(service, "service");
        if (weight < 0) {
            throw new IllegalArgumentException("weight must not be negative");
        }
    }
}
