package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.coordination.work.PeerWork;
import org.heatherreach.protocol.peer.wire.PoolRetries;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServiceId;

/**
 * The loads, the work left and the retry windows from the latest report of each peer. Direct reports are kept by the
 * address of the sender, forwarded ones by its incarnation, because their address is that of the daemon that forwarded them.
 *
 * <p>Invariants: each update first removes the reports of peers whose validity time has passed; the loads of a peer are
 * counted once, also when its reports begin or cease to be forwarded; no sum is negative, whatever a report says.
 *
 * <p>Confined to one thread.
 */
final class PeerLoads {
    private final Map<InetSocketAddress, Report> directReports = new HashMap<>();
    /** By the incarnation of the sender. */
    private final Map<Long, Report> forwardedReports = new HashMap<>();

    /**
     * Applies an update from a peer.
     *
     * @param validNanos how long the report stays valid without a further update of the peer
     * @return the sum of the in-flight requests of all peers by server hash, for each server whose sum may have changed
     */
    Map<Integer, Integer> apply(PoolUpdate update, InetSocketAddress from, long nowNanos, long validNanos) {
        Set<Integer> changed = new HashSet<>();
        removeExpired(changed, nowNanos);
        Report report = update.hasForward()
                ? forwardedReport(changed, update.getSender())
                : directReport(changed, from, update.getSender());
        report.validUntilNanos = nowNanos + validNanos;
        if (update.getHasLoads()) {
            changed.addAll(report.inFlight.keySet());
            report.inFlight.clear();
            report.workLeftMillis.clear();
            int count = Math.min(update.getLoadedServersCount(), update.getInFlightCount());
            for (int i = 0; i < count; i++) {
                if (update.getInFlight(i) < 0) {
                    continue;
                }
                report.inFlight.put(update.getLoadedServers(i), update.getInFlight(i));
                if (i < update.getWorkLeftMillisCount()) {
                    report.workLeftMillis.put(update.getLoadedServers(i), update.getWorkLeftMillis(i));
                }
            }
            changed.addAll(report.inFlight.keySet());
        }
        update.getRetriesList().stream()
                .filter(PeerLoads::isUsable)
                .forEach(usage -> report.retries.put(
                        new ServiceId(usage.getService()), new RetryUsage(usage.getRequests(), usage.getRetries())));
        Map<Integer, Integer> sums = new HashMap<>();
        changed.forEach(server -> sums.put(server, sum(server)));
        return sums;
    }

    /** Returns the work that all peers that report it have left at the given servers. */
    Map<Integer, PeerWork> work(Set<Integer> servers) {
        Map<Integer, PeerWork> sums = new HashMap<>();
        servers.forEach(server -> sums.put(server, workSum(server)));
        return sums;
    }

    private PeerWork workSum(int server) {
        long requests = 0;
        long leftMillis = 0;
        for (Map<?, Report> reports : List.of(directReports, forwardedReports)) {
            for (Report report : reports.values()) {
                Integer millis = report.workLeftMillis.get(server);
                if (millis != null) {
                    requests += report.inFlight.get(server);
                    leftMillis += Integer.toUnsignedLong(millis);
                }
            }
        }
        return new PeerWork((int) Math.min(Integer.MAX_VALUE, requests), TimeUnit.MILLISECONDS.toNanos(leftMillis));
    }

    /** Returns the retry windows by service, summed over all peers. */
    Map<ServiceId, RetryUsage> retries() {
        Map<ServiceId, RetryUsage> sums = new HashMap<>();
        for (Map<?, Report> reports : List.of(directReports, forwardedReports)) {
            reports.values()
                    .forEach(report ->
                            report.retries.forEach((service, usage) -> sums.merge(service, usage, RetryUsage::plus)));
        }
        return sums;
    }

    private Report forwardedReport(Set<Integer> changed, long incarnation) {
        Report known = forwardedReports.get(incarnation);
        if (known != null) {
            return known;
        }
        removeIf(directReports, changed, report -> report.incarnation == incarnation);
        Report added = new Report(incarnation);
        forwardedReports.put(incarnation, added);
        return added;
    }

    private Report directReport(Set<Integer> changed, InetSocketAddress from, long incarnation) {
        Report forwarded = forwardedReports.remove(incarnation);
        if (forwarded != null) {
            changed.addAll(forwarded.inFlight.keySet());
        }
        Report report = directReports.computeIfAbsent(from, address -> new Report(incarnation));
        report.incarnation = incarnation;
        return report;
    }

    private void removeExpired(Set<Integer> changed, long nowNanos) {
        removeIf(directReports, changed, report -> nowNanos - report.validUntilNanos >= 0);
        removeIf(forwardedReports, changed, report -> nowNanos - report.validUntilNanos >= 0);
    }

    private static void removeIf(Map<?, Report> reports, Set<Integer> changed, Predicate<Report> condition) {
        reports.values().removeIf(report -> {
            boolean removed = condition.test(report);
            if (removed) {
                changed.addAll(report.inFlight.keySet());
            }
            return removed;
        });
    }

    private int sum(int server) {
        long sum = 0;
        for (Map<?, Report> reports : List.of(directReports, forwardedReports)) {
            for (Report report : reports.values()) {
                sum += report.inFlight.getOrDefault(server, 0);
            }
        }
        return (int) Math.min(Integer.MAX_VALUE, sum);
    }

    private static boolean isUsable(PoolRetries usage) {
        return !usage.getService().isBlank() && usage.getRequests() >= 0 && usage.getRetries() >= 0;
    }

    /** The latest report of one peer. */
    private static final class Report {
        private final Map<Integer, Integer> inFlight = new HashMap<>();
        private final Map<Integer, Integer> workLeftMillis = new HashMap<>();
        private final Map<ServiceId, RetryUsage> retries = new HashMap<>();
        private long incarnation;
        private long validUntilNanos;

        private Report(long incarnation) {
            this.incarnation = incarnation;
        }
    }
}
