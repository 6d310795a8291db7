package org.heatherreach.state.table;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;

/**
 * The service and the rank of requests with a path prefix, from a route row of the table. Immutable and safe for use by
 * any thread.
 *
 * @param prefix the prefix that matched
 * @param service the service that requests go to
 * @param rank the rank of requests that state none; empty for the default of the fleet, which is standard
 */
public record Route(String prefix, ServiceId service, Option<Rank> rank) {
    /** Creates a route. */
    public Route {
        Objects.requireNonNull(prefix, "prefix");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rank, "rank");
    }
}
