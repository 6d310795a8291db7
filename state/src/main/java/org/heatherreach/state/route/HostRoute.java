package org.heatherreach.state.route;

import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServiceId;

/**
 * The target services and the request settings of one host and path prefix. Immutable and safe for use by any thread.
 *
 * <p>Invariant: the prefix begins and ends with a slash; at least one target has a positive weight.
 *
 * @param name the name that the operator gave the route
 * @param host the host without a port, in lower case
 * @param prefix the path prefix
 * @param idempotent whether a request may run more than once
 * @param largeMessages whether answers or bodies of requests are so large that they should not leave the availability
 *     zone of the daemon
 * @param targets the services that share the requests
 * @param timeoutMillis the maximum time that a caller waits for the answer; 0 if unbounded
 * @param targetLatencyMillis the latency up to which an answer has its full value; 0 if not stated
 * @param attempts the maximum number of servers that one request may be sent to
 * @param priority the priority of the requests; 0 is the most urgent
 * @param anonymous whether requests need no API key
 */
public record HostRoute(
        String name,
        String host,
        String prefix,
        boolean idempotent,
        boolean largeMessages,
        List<RouteTarget> targets,
        int timeoutMillis,
        int targetLatencyMillis,
        int attempts,
        int priority,
        boolean anonymous) {
    /**
     * Creates a route.
     *
     * @throws IllegalArgumentException if the prefix does not begin and end with a slash, no target has a positive
     *     weight, or a number is out of range
     */
    public HostRoute {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        targets = List.copyOf(targets);
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix " + prefix + " must begin and end with a slash");
        }
        if (targets.stream().mapToInt(RouteTarget::weight).sum() <= 0) {
            throw new IllegalArgumentException("route " + name + " has no target with a positive weight");
        }
        if (Math.min(timeoutMillis, targetLatencyMillis) < 0 || attempts < 1 || priority < 0) {
            throw new IllegalArgumentException("route " + name + " has a number out of range");
        }
    }

    /** Selects the service for one request at random, in proportion to the weights. */
    public ServiceId draw(RandomGenerator random) {
        if (targets.size() == 1) {
            return targets.get(0).service();
        }
        int remainingWeight =
                random.nextInt(targets.stream().mapToInt(RouteTarget::weight).sum());
        for (RouteTarget target : targets) {
            remainingWeight -= target.weight();
            if (remainingWeight < 0) {
                return target.service();
            }
        }
        throw new IllegalStateException("the weights of route " + name + " changed");
    }
}
