package org.heatherreach.daemon.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.heatherreach.coordination.crash.CrashDetector;
import org.heatherreach.coordination.crash.CrashLog;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.SuspectList;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/** The health state of one service. Confined to the duty thread. */
final class HealthService {
    private final ServiceId id;
    private final ListedService listed = new ListedService();
    private final List<HealthPart> parts = new ArrayList<>();
    private final Map<ExchangeKey, Deque<OpenExchange>> openExchanges = new HashMap<>();
    private final Map<ServerId, Long> lastTrafficNanos = new HashMap<>();
    private final Map<ServerId, Long> probeDeadlines = new HashMap<>();
    private final Map<ServerId, StateChange> stateChanges = new HashMap<>();
    private final Map<ServerId, Long> withheldDeadlines = new HashMap<>();
    private final Map<ServerId, Set<Fingerprint>> crashCandidates = new HashMap<>();
    private final CrashDetector crashDetector = new CrashDetector();
    private final SuspectList suspects;
    private final Set<Fingerprint> refusalCandidates = new LinkedHashSet<>();
    private CrashLog crashLog;
    private Set<Fingerprint> refused = Set.of();
    private Map<ServerId, Integer> shares = Map.of();
    private List<ListedServer> probeTargets = List.of();

    HealthService(ServiceId id) {
        this.id = Objects.requireNonNull(id, "id");
        this.suspects = new SuspectList(id);
    }

    /** Identifies an exchange by its server and request. Several concurrent exchanges may have the same key. */
    record ExchangeKey(ServerId server, long fingerprint) {}

    /** The evidence for the state of a server and the time of its last change. */
    record StateChange(String evidence, long sinceEpochMillis) {}

    /** An exchange in progress. */
    static final class OpenExchange {
        private final PooledHealth health;
        private final long number;
        private boolean answered;

        OpenExchange(PooledHealth health, long number) {
            this.health = health;
            this.number = number;
        }

        PooledHealth health() {
            return health;
        }

        long number() {
            return number;
        }

        void responseHeadReceived(long nowNanos) {
            answered = true;
            health.responseHeadReceived(number, nowNanos);
        }
    }

    ServiceId id() {
        return id;
    }

    ListedService listed() {
        return listed;
    }

    List<HealthPart> parts() {
        return parts;
    }

    /** Returns the part of a server, which need not be listed; null if the service has no parts yet. */
    HealthPart partOf(ServerId server) {
        int part = listed.partOf(server);
        return part < parts.size() ? parts.get(part) : null;
    }

    SuspectList suspects() {
        return suspects;
    }

    CrashDetector crashDetector() {
        return crashDetector;
    }

    /**
     * Returns the requests in flight on broken connections, by server, while a probe checks whether the server crashed.
     */
    Map<ServerId, Set<Fingerprint>> crashCandidates() {
        return crashCandidates;
    }

    /** Returns the log of crashes, or null if another daemon owns the service. */
    CrashLog crashLog() {
        return crashLog;
    }

    void setCrashLog(CrashLog log) {
        crashLog = log;
    }

    void addExchange(ExchangeKey key, OpenExchange exchange) {
        openExchanges.computeIfAbsent(key, absent -> new ArrayDeque<>(1)).add(exchange);
    }

    /** Returns the oldest open exchange with this key that has no response head, or null. */
    OpenExchange findUnanswered(ExchangeKey key) {
        for (OpenExchange candidate : openExchanges.getOrDefault(key, new ArrayDeque<>(0))) {
            if (!candidate.answered) {
                return candidate;
            }
        }
        return null;
    }

    /**
     * Removes and returns the oldest open exchange with this key, preferring one with a response head; null if none.
     */
    OpenExchange removeExchange(ExchangeKey key) {
        Deque<OpenExchange> sameKey = openExchanges.get(key);
        if (sameKey == null) {
            return null;
        }
        OpenExchange ended = sameKey.peek();
        for (OpenExchange candidate : sameKey) {
            if (candidate.answered) {
                ended = candidate;
                break;
            }
        }
        sameKey.remove(ended);
        if (sameKey.isEmpty()) {
            openExchanges.remove(key);
        }
        return ended;
    }

    void forEachAnswered(Consumer<OpenExchange> action) {
        for (Deque<OpenExchange> sameKey : openExchanges.values()) {
            for (OpenExchange candidate : sameKey) {
                if (candidate.answered) {
                    action.accept(candidate);
                }
            }
        }
    }

    void recordTraffic(ServerId server, long nowNanos) {
        lastTrafficNanos.put(server, nowNanos);
    }

    boolean isIdle(ServerId server, long idleNanos, long nowNanos) {
        Long last = lastTrafficNanos.get(server);
        return last == null || nowNanos - last >= idleNanos;
    }

    Map<ServerId, Long> probeDeadlines() {
        return probeDeadlines;
    }

    List<ListedServer> probeTargets() {
        return probeTargets;
    }

    /** Sets the servers that this daemon probes. */
    void setProbeTargets(List<ListedServer> servers) {
        probeTargets = List.copyOf(servers);
    }

    /** Removes the state of servers that are no longer listed, and adds an initial state for new ones. */
    void retainListed() {
        Set<ServerId> ids = new HashSet<>();
        listed.servers().forEach(entry -> ids.add(entry.server().id()));
        lastTrafficNanos.keySet().retainAll(ids);
        probeDeadlines.keySet().retainAll(ids);
        stateChanges.keySet().retainAll(ids);
        withheldDeadlines.keySet().retainAll(ids);
        long nowMillis = System.currentTimeMillis();
        ids.forEach(server -> stateChanges.putIfAbsent(server, new StateChange("", nowMillis)));
    }

    void recordStateChange(ServerId server, String evidence) {
        stateChanges.put(server, new StateChange(evidence, System.currentTimeMillis()));
    }

    /** Returns the expiry times of ejections that were withheld because of the floor, by server. */
    Map<ServerId, Long> withheldDeadlines() {
        return withheldDeadlines;
    }

    Map<ServerId, Integer> shares() {
        return shares;
    }

    /** Recomputes the shares of the servers that get less than all of their traffic; returns whether they changed. */
    boolean updateShares(long nowNanos) {
        Map<ServerId, Integer> next = new TreeMap<>();
        for (ListedServer entry : listed.servers()) {
            ServerId server = entry.server().id();
            int share = partOf(server).health().sharePercent(server, nowNanos);
            if (share != 100) {
                next.put(server, share);
            }
        }
        boolean changed = !next.equals(shares);
        shares = next;
        return changed;
    }

    List<ServerStatus> status() {
        List<ServerStatus> status = new ArrayList<>();
        for (ListedServer entry : listed.servers()) {
            ServerId server = entry.server().id();
            StateChange note = stateChanges.getOrDefault(server, new StateChange("", 0));
            int share = shares.getOrDefault(server, 100);
            status.add(new ServerStatus(
                    id.value(),
                    server.value(),
                    entry.server().zone().value(),
                    stateOf(server, share),
                    share,
                    note.evidence(),
                    note.sinceEpochMillis()));
        }
        return status;
    }

    private String stateOf(ServerId server, int share) {
        if (partOf(server).unavailable().contains(server)) {
            return "leaving";
        }
        if (share == 0) {
            return "ejected";
        }
        if (share < 100) {
            return "restricted";
        }
        return withheldDeadlines.containsKey(server) ? "withheld" : "in-use";
    }

    /** Adds a request that an update of the suspects refuses. */
    void addRefusalCandidate(Fingerprint request) {
        refusalCandidates.add(request);
    }

    /** Drops expired refusals; returns the refused requests if they changed since the previous call, else null. */
    Set<Fingerprint> updateRefused(long nowNanos) {
        refusalCandidates.removeIf(request -> !suspects.refuses(request, nowNanos));
        if (refusalCandidates.equals(refused)) {
            return null;
        }
        refused = Set.copyOf(refusalCandidates);
        return refused;
    }
}
