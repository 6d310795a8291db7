package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServiceId;

/**
 * The loads and retry windows that peers reported last.
 *
 * <p>Invariant: a peer that fell silent counts no longer.
 *
 * <p>Confined to one thread.
 */
final class PeerLoads {
    private final Map<InetSocketAddress, Report> reportsByPeer = new HashMap<>();

    /**
     * Takes the update of one peer.
     *
     * @param validNanos how long this peer counts if it reports nothing more
     * @return the requests of all peers at each server where they may have changed, by the hash of the server
     */
    Map<Integer, Integer> take(PoolUpdate update, InetSocketAddress from, long nowNanos, long validNanos) {
        Set<Integer> changed = new HashSet<>();
        forgetSilent(changed, nowNanos);
        Report report = reportsByPeer.computeIfAbsent(from, key -> new Report());
        report.validUntilNanos = nowNanos + validNanos;
        if (update.getHasLoads()) {
            changed.addAll(report.inFlight.keySet());
            report.inFlight.clear();
            int count = Math.min(update.getLoadedServersCount(), update.getInFlightCount());
            for (int i = 0; i < count; i++) {
                report.inFlight.put(update.getLoadedServers(i), update.getInFlight(i));
            }
            changed.addAll(report.inFlight.keySet());
        }
        update.getRetriesList()
                .forEach(usage -> report.retries.put(
                        new ServiceId(usage.getService()), new RetryUsage(usage.getRequests(), usage.getRetries())));
        Map<Integer, Integer> sums = new HashMap<>();
        changed.forEach(server -> sums.put(server, sum(server)));
        return sums;
    }

    /** Returns the sum of the retry windows of all peers that reported theirs. */
    Map<ServiceId, RetryUsage> retries() {
        Map<ServiceId, RetryUsage> sums = new HashMap<>();
        reportsByPeer
                .values()
                .forEach(report ->
                        report.retries.forEach((service, usage) -> sums.merge(service, usage, RetryUsage::plus)));
        return sums;
    }

    private void forgetSilent(Set<Integer> changed, long nowNanos) {
        reportsByPeer.values().removeIf(report -> {
            boolean silent = nowNanos - report.validUntilNanos >= 0;
            if (silent) {
                changed.addAll(report.inFlight.keySet());
            }
            return silent;
        });
    }

    private int sum(int server) {
        return reportsByPeer.values().stream()
                .mapToInt(report -> report.inFlight.getOrDefault(server, 0))
                .sum();
    }

    /** What one peer reported. */
    private static final class Report {
        private final Map<Integer, Integer> inFlight = new HashMap<>();
        private final Map<ServiceId, RetryUsage> retries = new HashMap<>();
        private long validUntilNanos;
    }
}
