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

/** One service in the health duty. Confined to the duty thread. */
final class HealthService {
    private final ServiceId id;
    private final ListedService listed = new ListedService();
    private final List<HealthPart> parts = new ArrayList<>();
    private final Map<Exchange, Deque<Open>> open = new HashMap<>();
    private final Map<ServerId, Long> trafficNanos = new HashMap<>();
    private final Map<ServerId, Long> probeDeadlines = new HashMap<>();
    private final Map<ServerId, Note> notes = new HashMap<>();
    private final Map<ServerId, Long> withheldDeadlines = new HashMap<>();
    private final Map<ServerId, Set<Fingerprint>> unconfirmed = new HashMap<>();
    private final CrashDetector breaks = new CrashDetector();
    private final SuspectList suspects;
    private final Set<Fingerprint> refusedOnce = new LinkedHashSet<>();
    private CrashLog crashes;
    private Set<Fingerprint> refused = Set.of();
    private Map<ServerId, Integer> shares = Map.of();
    private List<ListedServer> assigned = List.of();

    HealthService(ServiceId id) {
        this.id = Objects.requireNonNull(id, "id");
        this.suspects = new SuspectList(id);
    }

    /** An exchange as its observer names it; several exchanges at the same time may have the same name. */
    record Exchange(ServerId server, long fingerprint) {}

    /** Why a server is in its state. */
    record Note(String evidence, long sinceEpochMillis) {}

    /** An exchange under way. */
    static final class Open {
        private final PooledHealth health;
        private final long number;
        private boolean answered;

        Open(PooledHealth health, long number) {
            this.health = health;
            this.number = number;
        }

        PooledHealth health() {
            return health;
        }

        long number() {
            return number;
        }

        void answer(long nowNanos) {
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

    /** Returns the part of a server, listed or not; null before there are parts. */
    HealthPart partOf(ServerId server) {
        int part = listed.partOf(server);
        return part < parts.size() ? parts.get(part) : null;
    }

    SuspectList suspects() {
        return suspects;
    }

    CrashDetector breaks() {
        return breaks;
    }

    /** Returns the requests whose connections broke, by servers that are being asked whether they have crashed. */
    Map<ServerId, Set<Fingerprint>> unconfirmed() {
        return unconfirmed;
    }

    /** Returns the log of crashes, or null if another daemon owns the service. */
    CrashLog crashes() {
        return crashes;
    }

    void useCrashes(CrashLog log) {
        crashes = log;
    }

    void begin(Exchange exchange, Open opened) {
        open.computeIfAbsent(exchange, key -> new ArrayDeque<>(1)).add(opened);
    }

    /** Returns the oldest open exchange of this name that has no answer, or null. */
    Open findUnanswered(Exchange exchange) {
        for (Open candidate : open.getOrDefault(exchange, new ArrayDeque<>(0))) {
            if (!candidate.answered) {
                return candidate;
            }
        }
        return null;
    }

    /** Removes the oldest open exchange of this name, one with an answer first; null if there is none. */
    Open end(Exchange exchange) {
        Deque<Open> same = open.get(exchange);
        if (same == null) {
            return null;
        }
        Open ended = same.peek();
        for (Open candidate : same) {
            if (candidate.answered) {
                ended = candidate;
                break;
            }
        }
        same.remove(ended);
        if (same.isEmpty()) {
            open.remove(exchange);
        }
        return ended;
    }

    void forEachAnswered(Consumer<Open> action) {
        for (Deque<Open> same : open.values()) {
            for (Open candidate : same) {
                if (candidate.answered) {
                    action.accept(candidate);
                }
            }
        }
    }

    void noteTraffic(ServerId server, long nowNanos) {
        trafficNanos.put(server, nowNanos);
    }

    boolean isIdle(ServerId server, long idleNanos, long nowNanos) {
        Long last = trafficNanos.get(server);
        return last == null || nowNanos - last >= idleNanos;
    }

    Map<ServerId, Long> probeDeadlines() {
        return probeDeadlines;
    }

    List<ListedServer> assigned() {
        return assigned;
    }

    /** Sets the servers that this daemon probes. */
    void assign(List<ListedServer> servers) {
        assigned = List.copyOf(servers);
    }

    /** Forgets servers that are no longer listed. */
    void retainListed() {
        Set<ServerId> ids = new HashSet<>();
        listed.servers().forEach(entry -> ids.add(entry.server().id()));
        trafficNanos.keySet().retainAll(ids);
        probeDeadlines.keySet().retainAll(ids);
        notes.keySet().retainAll(ids);
        withheldDeadlines.keySet().retainAll(ids);
        long nowMillis = System.currentTimeMillis();
        ids.forEach(server -> notes.putIfAbsent(server, new Note("", nowMillis)));
    }

    void note(ServerId server, String evidence) {
        notes.put(server, new Note(evidence, System.currentTimeMillis()));
    }

    /** Returns until when the verdicts hold that the floor did not allow, by server. */
    Map<ServerId, Long> withheldDeadlines() {
        return withheldDeadlines;
    }

    Map<ServerId, Integer> shares() {
        return shares;
    }

    /** Computes the shares of the servers that don't get all of their traffic; returns whether they changed. */
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
            Note note = notes.getOrDefault(server, new Note("", 0));
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

    /** Notes requests that an update refuses. */
    void noteRefused(Fingerprint request) {
        refusedOnce.add(request);
    }

    /** Returns the refused requests if they changed since the previous call, else null. */
    Set<Fingerprint> updateRefused(long nowNanos) {
        refusedOnce.removeIf(request -> !suspects.refuses(request, nowNanos));
        if (refusedOnce.equals(refused)) {
            return null;
        }
        refused = Set.copyOf(refusedOnce);
        return refused;
    }
}
