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
 * Counts what a daemon sees of the servers of one service part and makes a report of it each 250 ms.
 *
 * <p>Latency is the time to the response head, because the time to the end also depends on how fast the caller reads.
 * An unanswered exchange is counted by its age once it is much older than the usual latency, so that a slow server is
 * seen before its first answers arrive.
 *
 * <p>Invariants: each exchange adds at most one to the latency counts and ends once; a report holds only servers with
 * traffic. Confined to one duty thread.
 */
public final class EvidenceWindow {
    /** The interval between two reports. */
    public static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The least silence after which an exchange counts as stalled. */
    public static final long MIN_STALL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Silence of 16 times the usual latency is a stall, and again at twice that, which ends the counting. */
    private static final double STALL_FACTOR = 16;

    private static final int MAX_STALL_COUNTS = 2;
    private static final double LATE_FACTOR = 4;
    /** Keeps about 10 s of latencies, enough for the median of a service with one request a second. */
    private static final double USUAL_DECAY = 0.975;

    private final ServiceId service;
    private final int part;
    private final ZoneId zone;
    private final Map<ServerId, Counts> countsByServer = new HashMap<>();
    private final Map<Long, Exchange> exchanges = new HashMap<>();
    private final double[] usualLatency = new double[LatencyBuckets.COUNT];
    private long lastExchange;

    /** Creates an empty window. */
    public EvidenceWindow(ServiceId service, int part, ZoneId zone) {
        this.service = Objects.requireNonNull(service, "service");
        this.part = part;
        this.zone = Objects.requireNonNull(zone, "zone");
    }

    /** Notes that a request is sent to a server and returns the number of the exchange. */
    public long begin(ServerId server, long nowNanos) {
        long number = ++lastExchange;
        exchanges.put(number, new Exchange(server, nowNanos));
        return number;
    }

    /** Notes that the response head arrived. An exchange that is not open is ignored. */
    public void answer(long exchange, long nowNanos) {
        Exchange open = exchanges.get(exchange);
        if (open != null) {
            open.lastByteNanos = nowNanos;
            open.stallCounts = 0;
            countLatency(open, nowNanos);
        }
    }

    /** Notes that a part of the response body arrived. An exchange that is not open is ignored. */
    public void progress(long exchange, long nowNanos) {
        Exchange open = exchanges.get(exchange);
        if (open != null) {
            open.lastByteNanos = nowNanos;
            open.stallCounts = 0;
        }
    }

    /** Notes that the whole response arrived. An exchange that is not open is ignored. */
    public void complete(long exchange, long nowNanos) {
        Exchange open = exchanges.remove(exchange);
        if (open != null) {
            countLatency(open, nowNanos);
            countsOf(open.server).requests++;
        }
    }

    /** Notes that the exchange failed. An exchange that is not open is ignored. */
    public void fail(long exchange, ServerFailure kind, long nowNanos) {
        Exchange open = exchanges.remove(exchange);
        // An exchange must not convict a server alone by being counted as a stall again when it is given up.
        if (open == null || kind == ServerFailure.STALLED && open.stallCounts > 0) {
            return;
        }
        Counts counts = countsOf(open.server);
        counts.requests++;
        switch (kind) {
            case ERROR -> counts.errors++;
            case TRUNCATED -> counts.truncated++;
            case STALLED -> counts.stalled++;
            case CONNECT -> counts.connectFailures++;
            default -> throw new IllegalArgumentException("unknown kind " + kind);
        }
        if (kind != ServerFailure.CONNECT) {
            countLatency(open, nowNanos);
        }
    }

    /** Notes that the exchange ended for a reason that says nothing about the server. */
    public void cancel(long exchange) {
        exchanges.remove(exchange);
    }

    /** Returns what was counted since the previous report and starts a new window; empty if there was no traffic. */
    public Optional<HealthReport> report(long nowNanos) {
        countOpenExchanges(nowNanos);
        if (countsByServer.isEmpty()) {
            return Optional.empty();
        }
        List<ServerEvidence> evidence = new ArrayList<>(countsByServer.size());
        for (Map.Entry<ServerId, Counts> entry : countsByServer.entrySet()) {
            evidence.add(entry.getValue().toEvidence(entry.getKey()));
        }
        countsByServer.clear();
        for (int i = 0; i < usualLatency.length; i++) {
            usualLatency[i] *= USUAL_DECAY;
        }
        return Optional.of(new HealthReport(service, part, zone, evidence));
    }

    private void countOpenExchanges(long nowNanos) {
        long usualNanos = usualNanos();
        long lateNanos = usualNanos == 0 ? MIN_STALL_NANOS : (long) (usualNanos * LATE_FACTOR);
        long stallNanos = Math.max(MIN_STALL_NANOS, (long) (usualNanos * STALL_FACTOR));
        for (Exchange open : exchanges.values()) {
            if (!open.latencyCounted && nowNanos - open.beginNanos >= lateNanos) {
                countLatency(open, nowNanos);
            }
            if (open.stallCounts < MAX_STALL_COUNTS
                    && nowNanos - open.lastByteNanos >= stallNanos << open.stallCounts) {
                open.stallCounts++;
                Counts counts = countsOf(open.server);
                counts.requests++;
                counts.stalled++;
            }
        }
    }

    /** Returns the upper limit of the median latency of the service, or 0 if there is nothing to compare with. */
    private long usualNanos() {
        double total = 0;
        for (double count : usualLatency) {
            total += count;
        }
        if (total < 1) {
            return 0;
        }
        double below = 0;
        int median = 0;
        while (median < LatencyBuckets.COUNT - 1) {
            below += usualLatency[median];
            if (below * 2 >= total) {
                break;
            }
            median++;
        }
        return LatencyBuckets.upperLimitNanos(median);
    }

    private void countLatency(Exchange open, long nowNanos) {
        if (!open.latencyCounted) {
            open.latencyCounted = true;
            int bucket = LatencyBuckets.indexOf(nowNanos - open.beginNanos);
            countsOf(open.server).latencies[bucket]++;
            usualLatency[bucket]++;
        }
    }

    private Counts countsOf(ServerId server) {
        return countsByServer.computeIfAbsent(server, key -> new Counts());
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

    private static final class Counts {
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
