package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.PoolPolicy;
import org.heatherreach.daemon.LogFormat;
import org.heatherreach.daemon.LogLevel;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/**
 * The validated settings of a daemon of a site. Immutable and safe for use by any thread.
 *
 * @param daemon the name of the daemon
 * @param zone its availability zone
 * @param region its region
 * @param front the listening address for callers
 * @param readiness the listening address of the readiness endpoint
 * @param directory the listening address of the directory endpoint, which lists the daemons that callers may use
 * @param peer the address that receives datagrams from other daemons
 * @param metrics the listening address of the metrics endpoint
 * @param store the address of the key-value store
 * @param changeBoundMillis within which time a change in the store has to be in force at this daemon
 * @param routesBoundMillis within which time a change of the routing table has to be in force at this daemon
 * @param readerZoneSize the number of daemons from which on an availability zone has readers of the store; 0 for none
 * @param graceMillis the time between the stop signal and the end of the process
 * @param addressKeepMillis how long callers may keep a directory response
 * @param retryPercent the retry budget as a percentage of a service's requests, over all daemons
 * @param retrySlack the number of retries beyond that percentage that are allowed in each window, over all daemons
 * @param retriesByUrgency whether a retry leaves the budget to more urgent requests that are likely to need it
 * @param quotas how the quotas of workspaces are enforced; empty if they are not
 * @param pools how servers are chosen
 * @param logFormat the format of log lines
 * @param logLevel the least severe level that is logged
 */
public record SiteSettings(
        DaemonId daemon,
        ZoneId zone,
        RegionId region,
        InetSocketAddress front,
        InetSocketAddress readiness,
        InetSocketAddress directory,
        InetSocketAddress peer,
        InetSocketAddress metrics,
        InetSocketAddress store,
        long changeBoundMillis,
        long routesBoundMillis,
        int readerZoneSize,
        long graceMillis,
        long addressKeepMillis,
        int retryPercent,
        int retrySlack,
        boolean retriesByUrgency,
        Option<QuotaSettings> quotas,
        PoolPolicy pools,
        LogFormat logFormat,
        LogLevel logLevel) {
    public SiteSettings {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(front, "front");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(directory, "directory");
        Objects.requireNonNull(peer, "peer");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(store, "store");
        Objects.requireNonNull(quotas, "quotas");
        Objects.requireNonNull(pools, "pools");
        Objects.requireNonNull(logFormat, "logFormat");
        Objects.requireNonNull(logLevel, "logLevel");
    }
}
