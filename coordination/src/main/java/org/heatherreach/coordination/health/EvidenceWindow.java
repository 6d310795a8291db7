package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * Counts the results of one daemon's exchanges with the servers of one service part and reports them every 250 ms.
 *
 * <p>Latency is the time to the response head, because the time to the end also depends on how fast the caller reads.
 * An exchange without a response head is counted by its age once it is much older than the median latency, so that a
 * slow server is noticed before its first responses arrive.
 *
 * <p>Invariants: each exchange adds at most one to the latency counts and ends once; a report holds only servers with
 * traffic. Confined to one duty thread.
 */
public final class EvidenceWindow {
    /** The interval between two reports. */
    public static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The shortest silence after which an exchange counts as stalled. */
    public static final long MIN_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * An exchange counts as stalled after a silence of this many times the median latency. It counts a second and last
     * time after twice that silence.
     */
    private static final double STALL_LATENCY_FACTOR = 16;

    private static final int MAX_STALL_COUNTS = 2;
    /** An exchange without a response head is counted by its age from this multiple of the median latency. */
    private static final double LATE_LATENCY_FACTOR = 4;
    /** Keeps about 10 s of latencies, enough for the median of a service with one request per second. */
    private static final double LATENCY_HISTORY_DECAY = 0.975;

    private final ServiceId service;
    private final int part;
    private final ZoneId zone;
    private final Map<ServerId, ServerCounts> countsByServer = new HashMap<>();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final double[] latencyHistory = new double[LatencyBuckets.COUNT];
    private long lastExchangeId;

    /** Creates an empty window. */
    public EvidenceWindow(ServiceId service, int part, ZoneId zone) {
        this.service = Objects.requireNonNull(service, "service");
        this.part = part;
        this.zone = Objects.requireNonNull(zone, "zone");
    }

    /** Notes that a request is sent to a server and returns the id of the exchange. */
    public long begin(ServerId server, long nowNanos) {
        long exchangeId = ++lastExchangeId;
        exchanges.put(exchangeId, new Exchange(server, nowNanos));
        return exchangeId;
    }

    /** Notes that the response head arrived. An exchange that is not open is ignored. */
    public void responseHeadReceived(long exchangeId, long nowNanos) {
        Exchange openExchange = exchanges.get(exchangeId);
        if (openExchange != null) {
            openExchange.lastByteNanos = nowNanos;
            openExchange.stallCounts = 0;
            countLatency(openExchange, nowNanos);
        }
    }

    /** Notes that a part of the response body arrived. An exchange that is not open is ignored. */
    public void responseBodyReceived(long exchangeId, long nowNanos) {
        Exchange openExchange = exchanges.get(exchangeId);
        if (openExchange != null) {
            openExchange.lastByteNanos = nowNanos;
            openExchange.stallCounts = 0;
        }
    }

    /** Notes that the whole response arrived. An exchange that is not open is ignored. */
    public void complete(long exchangeId, long nowNanos) {
        Exchange openExchange = exchanges.remove(exchangeId);
        if (openExchange != null) {
            countLatency(openExchange, nowNanos);
            countsOf(openExchange.server).requests++;
        }
    }

    /** Notes that the exchange failed. An exchange that is not open is ignored. */
    public void fail(long exchangeId, ServerFailure kind, long nowNanos) {
        Exchange openExchange = exchanges.remove(exchangeId);
        // A stall that was counted while the exchange was open is not counted again when the exchange is abandoned.
        // Otherwise a single exchange could get a server ejected.
        if (openExchange == null || kind == ServerFailure.STALLED && openExchange.stallCounts > 0) {
            return;
        }
        ServerCounts counts = countsOf(openExchange.server);
        counts.requests++;
        switch (kind) {
            case ERROR -> counts.errors++;
            case TRUNCATED -> counts.truncated++;
            case STALLED -> counts.stalled++;
            case CONNECT -> counts.connectFailures++;
            default -> throw new IllegalArgumentException("unknown kind " + kind);
        }
        if (kind != ServerFailure.CONNECT) {
            countLatency(openExchange, nowNanos);
        }
    }

    /** Notes that the exchange ended for a reason that says nothing about the server. */
    public void cancel(long exchangeId) {
        exchanges.remove(exchangeId);
    }

    /** Returns what was counted since the previous report and starts a new window; empty if there was no traffic. */
    public Optional<HealthReport> collectReport(long nowNanos) {
        countOpenExchanges(nowNanos);
        if (countsByServer.isEmpty()) {
            return Optional.empty();
        }
        List<ServerEvidence> evidence = new ArrayList<>(countsByServer.size());
        for (Map.Entry<ServerId, ServerCounts> entry : countsByServer.entrySet()) {
            evidence.add(entry.getValue().toEvidence(entry.getKey()));
        }
        countsByServer.clear();
        for (int i = 0; i < latencyHistory.length; i++) {
            latencyHistory[i] *= LATENCY_HISTORY_DECAY;
        }
        return Optional.of(new HealthReport(service, part, zone, evidence));
    }

    private void countOpenExchanges(long nowNanos) {
        long medianNanos = medianLatencyNanos();
        long lateNanos = medianNanos == 0 ? MIN_STALL_NANOS : (long) (medianNanos * LATE_LATENCY_FACTOR);
        long stallNanos = Math.max(MIN_STALL_NANOS, (long) (medianNanos * STALL_LATENCY_FACTOR));
        for (Exchange openExchange : exchanges.values()) {
            if (!openExchange.latencyCounted && nowNanos - openExchange.beginNanos >= lateNanos) {
                countLatency(openExchange, nowNanos);
            }
            if (openExchange.stallCounts < MAX_STALL_COUNTS
                    && nowNanos - openExchange.lastByteNanos >= stallNanos << openExchange.stallCounts) {
                openExchange.stallCounts++;
                ServerCounts counts = countsOf(openExchange.server);
                counts.requests++;
                counts.stalled++;
            }
        }
    }

    /** Returns the upper limit of the bucket with the median latency of the service, or 0 if the history is empty. */
    private long medianLatencyNanos() {
        double total = 0;
        for (double count : latencyHistory) {
            total += count;
        }
        if (total < 1) {
            return 0;
        }
        double cumulative = 0;
        int median = 0;
        while (median < LatencyBuckets.COUNT - 1) {
            cumulative += latencyHistory[median];
            if (cumulative * 2 >= total) {
                break;
            }
            median++;
        }
        return LatencyBuckets.upperLimitNanos(median);
    }

    private void countLatency(Exchange openExchange, long nowNanos) {
        if (!openExchange.latencyCounted) {
            openExchange.latencyCounted = true;
            int bucket = LatencyBuckets.indexOf(nowNanos - openExchange.beginNanos);
            countsOf(openExchange.server).latencies[bucket]++;
            latencyHistory[bucket]++;
        }
    }

    private ServerCounts countsOf(ServerId server) {
        return countsByServer.computeIfAbsent(server, key -> new ServerCounts());
    }

    private static final class Exchange {
        private final ServerId server;
        private final long beginNanos;
        private long lastByteNanos;
        private boolean latencyCounted;
        private int stallCounts;

        Exchange(ServerId server, long beginNanos) {
            this.server = Objects.requireNonNull(server, "server");
            this.beginNanos = beginNanos;
            this.lastByteNanos = beginNanos;
        }
    }

    private static final class ServerCounts {
        private final int[] latencies = new int[LatencyBuckets.COUNT];
        private int requests;
        private int errors;
        private int truncated;
        private int stalled;
        private int connectFailures;

        ServerEvidence toEvidence(ServerId server) {
            return new ServerEvidence(server, requests, errors, truncated, stalled, connectFailures, latencies);
        }
    }
}
