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
 * The settings of a daemon, checked. Immutable and safe for use by any thread.
 *
 * @param daemon the name of the daemon
 * @param zone its zone
 * @param region its region
 * @param mode the product or the baseline of comparisons
 * @param listen the address for callers
 * @param ioThreads the number of event loops
 * @param scheduleRing the capacity of the ring of the schedule duty
 * @param seed the seed of random choices; 0 draws one
 * @param addresses the other daemons that callers may connect to
 * @param addressKeepMillis how long callers may keep an address answer
 * @param drainQuietMillis the time without requests after which a drained daemon exits
 * @param limits the bounds of one request
 * @param logFormat the form of log lines
 * @param logLevel the least severe level that is logged
 * @param services the services by id
 * @param routes the services by path prefix
 * @param fleet the peers and the platform; without them the daemon works by its settings alone
 */
public record DaemonSettings(
        DaemonId daemon,
        ZoneId zone,
        RegionId region,
        ProxyMode mode,
        InetSocketAddress listen,
        int ioThreads,
        int scheduleRing,
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
    /** Creates settings. */
    public DaemonSettings {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(mode, "mode");
        Objects.requireNonNull(listen, "listen");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(logFormat, "logFormat");
        Objects.requireNonNull(logLevel, "logLevel");
        Objects.requireNonNull(fleet, "fleet");
        addresses = List.copyOf(addresses);
        services = Map.copyOf(services);
        routes = Map.copyOf(routes);
    }
}
