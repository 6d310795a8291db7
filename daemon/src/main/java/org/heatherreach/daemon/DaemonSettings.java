package org.heatherreach.daemon;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ProxyLimits;
import org.heatherreach.transport.http.ProxyMode;

/**
 * The validated settings of a daemon. Immutable and safe for use by any thread.
 *
 * @param daemon the name of the daemon
 * @param zone its availability zone
 * @param region its region
 * @param mode whether the daemon works as the product or as the baseline of comparisons
 * @param listen the listening address for callers
 * @param advertise the address that callers are given; port 0 stands for the bound port
 * @param ioThreads the number of event loops
 * @param scheduleRingCapacity the capacity of the ring buffer of the schedule duty
 * @param seed the seed of the random generators; 0 stands for a random seed
 * @param addresses the other daemons that callers may connect to
 * @param addressKeepMillis how long callers may keep a response of the addresses endpoint
 * @param drainQuietMillis the time without requests after which a draining daemon exits
 * @param limits the limits of the request path
 * @param logFormat the format of log lines
 * @param logLevel the least severe level that is logged
 * @param services the services by id
 * @param routes the services by path prefix
 * @param fleet the addresses of peers and of the platform; empty for a standalone daemon, which uses its settings only
 */
public record DaemonSettings(
        DaemonId daemon,
        ZoneId zone,
        RegionId region,
        ProxyMode mode,
        InetSocketAddress listen,
        InetSocketAddress advertise,
        int ioThreads,
        int scheduleRingCapacity,
        long seed,
        List<DaemonAddress> addresses,
        long addressKeepMillis,
        long drainQuietMillis,
        ProxyLimits limits,
        LogFormat logFormat,
        LogLevel logLevel,
        Map<ServiceId, ServiceSettings> services,
        Map<String, ServiceId> routes,
        Option<FleetSettings> fleet) {
    public DaemonSettings {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(mode, "mode");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(advertise, "advertise");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(logFormat, "logFormat");
        Objects.requireNonNull(logLevel, "logLevel");
        Objects.requireNonNull(fleet, "fleet");
        addresses = List.copyOf(addresses);
        services = Map.copyOf(services);
        routes = Map.copyOf(routes);
    }
}
