package org.heatherreach.coordination.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * The crashes of the servers of one service, kept by its owner.
 *
 * <p>All requests in flight during a crash become its suspects. A later crash with exactly one earlier suspect in flight
 * identifies that request: it is refused, the other suspects of its crashes are cleared, and its crashes are explained.
 * If the request completes normally after all, this is taken back.
 * If several earlier suspects were in flight, which happens only before all daemons know them, none is identified until
 * a further crash separates them.
 *
 * <p>Invariants: a cleared request is no suspect of any crash before its clearing; a refused request has been in flight in at least two crashes; the
 * number of crashes kept is bounded. Confined to one duty thread.
 */
public final class CrashLog {
    /** How long a request stays a suspect, and how long it is refused once identified. */
    public static final long VALID_NANOS = TimeUnit.MINUTES.toNanos(15);

    /** Reports about one server within this time are about the same crash; daemons notice it at different times. */
    private static final long MERGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Clearings stay in snapshots this long, in case an update was lost. */
    private static final long CLEARED_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int MAX_CRASHES = 256;
    private static final int MAX_SUSPECTS_PER_CRASH = 1024;

    private final ServiceId service;
    private final RandomGenerator random;
    private final List<Crash> crashes = new ArrayList<>();
    private final Map<Fingerprint, Identified> identified = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> clearedDeadlines = new LinkedHashMap<>();

    /**
     * Creates an empty log.
     *
     * @param random draws the numbers of crashes, which must differ between two owners
     */
    public CrashLog(ServiceId service, RandomGenerator random) {
        this.service = Objects.requireNonNull(service, "service");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Takes a report of one daemon.
     *
     * @throws IllegalArgumentException if the report is for another service
     */
    public CrashFinding report(CrashReport report, long nowNanos) {
        checkService(report.service());
        expire(nowNanos);
        State before = new State(nowNanos);
        Crash crash = findOrAdd(report.server(), nowNanos);
        for (Fingerprint request : report.fingerprints()) {
            if (crash.inFlight.size() < MAX_SUSPECTS_PER_CRASH) {
                crash.inFlight.add(request);
            }
        }
        conclude(crash);
        return compare(before, new State(nowNanos), nowNanos);
    }

    /**
     * Takes an update of a daemon; only clearings count. A request that completed normally does not crash servers, so it
     * is cleared even if it was identified. A crash with several earlier suspects may thereby be left with one.
     *
     * @throws IllegalArgumentException if the update is for another service
     */
    public CrashFinding clear(SuspectUpdate update, long nowNanos) {
        checkService(update.service());
        expire(nowNanos);
        State before = new State(nowNanos);
        for (Suspect suspect : update.suspects()) {
            if (suspect.isCleared()) {
                clearRequest(suspect.fingerprint());
            }
        }
        return compare(before, new State(nowNanos), nowNanos);
    }

    /** Returns every suspect and recent clearing, for daemons that may have missed updates. */
    public SuspectUpdate snapshot(long nowNanos) {
        expire(nowNanos);
        State state = new State(nowNanos);
        List<Suspect> suspects = new ArrayList<>();
        for (Fingerprint request : clearedDeadlines.keySet()) {
            if (!state.entries.containsKey(request)) {
                suspects.add(Suspect.cleared(request));
            }
        }
        state.entries.values().forEach(suspects::addAll);
        return new SuspectUpdate(service, suspects);
    }

    /** Returns whether a request is identified and refused. */
    public boolean refuses(Fingerprint request, long nowNanos) {
        expire(nowNanos);
        return identified.containsKey(request);
    }

    private void conclude(Crash crash) {
        for (Fingerprint request : crash.inFlight) {
            Identified entry = identified.get(request);
            // What this same crash identified is open to revision while its reports come in.
            if (entry != null && entry.crash != crash) {
                crash.explainedBy = crash;
                return;
            }
        }
        withdraw(crash);
        Set<Fingerprint> earlier = earlierSuspects(crash);
        if (earlier.size() == 1) {
            Fingerprint found = earlier.iterator().next();
            crash.culprit = found;
            int count = 0;
            for (Crash other : crashes) {
                if (other.inFlight.contains(found)) {
                    count++;
                    if (other.explainedBy == null) {
                        other.explainedBy = crash;
                    }
                }
            }
            identified.put(found, new Identified(crash, count, crash.expiryDeadlineNanos));
        }
    }

    /** Takes back what a crash identified, so that the crashes which that explained are open again. */
    private void withdraw(Crash crash) {
        if (crash.culprit != null) {
            identified.remove(crash.culprit);
            crash.culprit = null;
        }
        for (Crash other : crashes) {
            if (other.explainedBy == crash) {
                other.explainedBy = null;
            }
        }
    }

    private Set<Fingerprint> earlierSuspects(Crash crash) {
        Set<Fingerprint> earlier = new TreeSet<>();
        for (Crash other : crashes) {
            if (other == crash) {
                // Crashes are kept in the order of their first reports.
                break;
            }
            for (Fingerprint request : crash.inFlight) {
                if (other.suspects().contains(request) && !crash.cleared.contains(request)) {
                    earlier.add(request);
                }
            }
        }
        return earlier;
    }

    private void clearRequest(Fingerprint request) {
        Identified entry = identified.get(request);
        if (entry != null) {
            withdraw(entry.crash);
            identified.remove(request);
        }
        for (Crash crash : crashes) {
            if (crash.inFlight.contains(request)) {
                crash.cleared.add(request);
            }
        }
        for (Crash crash : crashes) {
            if (crash.cleared.contains(request) && crash.explainedBy == null) {
                conclude(crash);
            }
        }
    }

    private CrashFinding compare(State before, State after, long nowNanos) {
        List<Suspect> changed = new ArrayList<>();
        before.entries.forEach((request, entries) -> {
            List<Suspect> kept = after.entries.getOrDefault(request, List.of());
            if (!kept.containsAll(entries)) {
                // A clearing ends every entry of the request, so those still valid follow it.
                changed.add(Suspect.cleared(request));
                changed.addAll(kept);
            }
            if (kept.isEmpty()) {
                clearedDeadlines.put(request, nowNanos + CLEARED_NANOS);
            }
        });
        after.entries.forEach((request, entries) -> {
            List<Suspect> old = before.entries.getOrDefault(request, List.of());
            if (entries.containsAll(old)) {
                entries.stream().filter(entry -> !old.contains(entry)).forEach(changed::add);
            }
        });
        List<CrashFinding.ExplainedCrash> explained = new ArrayList<>();
        for (Crash crash : crashes) {
            if (crash.explainedBy != null && !before.explained.contains(crash)) {
                explained.add(new CrashFinding.ExplainedCrash(crash.server, crash.firstNanos));
            }
        }
        return new CrashFinding(new SuspectUpdate(service, changed), explained);
    }

    private Crash findOrAdd(ServerId server, long nowNanos) {
        for (Crash crash : crashes) {
            if (crash.server.equals(server) && nowNanos - crash.firstNanos < MERGE_NANOS) {
                return crash;
            }
        }
        if (crashes.size() == MAX_CRASHES) {
            crashes.remove(0);
        }
        Crash added = new Crash(random.nextLong(), server, nowNanos);
        crashes.add(added);
        return added;
    }

    private static int millisUntil(long deadlineNanos, long nowNanos) {
        return (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }

    private void expire(long nowNanos) {
        crashes.removeIf(crash -> nowNanos - crash.expiryDeadlineNanos >= 0);
        identified.values().removeIf(entry -> nowNanos - entry.expiryDeadlineNanos >= 0);
        clearedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
    }

    private void checkService(ServiceId other) {
        if (!service.equals(other)) {
            throw new IllegalArgumentException("message for service " + other + ", expected " + service);
        }
    }

    private record Identified(Crash crash, int crashes, long expiryDeadlineNanos) {}

    /** What daemons have to know, as it stands at one moment. */
    private final class State {
        private final Map<Fingerprint, List<Suspect>> entries = new TreeMap<>();
        private final Set<Crash> explained = new HashSet<>();

        State(long nowNanos) {
            Map<Fingerprint, Integer> counts = new HashMap<>();
            for (Crash crash : crashes) {
                crash.inFlight.forEach(request -> counts.merge(request, 1, Integer::sum));
                if (crash.explainedBy != null) {
                    explained.add(crash);
                }
            }
            for (Crash crash : crashes) {
                for (Fingerprint request : crash.suspects()) {
                    add(new Suspect(
                            request,
                            counts.get(request),
                            false,
                            millisUntil(crash.expiryDeadlineNanos, nowNanos),
                            crash.number));
                }
            }
            identified.forEach((request, entry) -> {
                entries.remove(request);
                add(new Suspect(
                        request,
                        entry.crashes,
                        true,
                        millisUntil(entry.expiryDeadlineNanos, nowNanos),
                        entry.crash.number));
            });
        }

        private void add(Suspect suspect) {
            entries.computeIfAbsent(suspect.fingerprint(), key -> new ArrayList<>())
                    .add(suspect);
        }
    }

    private static final class Crash {
        private final long number;
        private final ServerId server;
        private final long firstNanos;
        private final long expiryDeadlineNanos;
        private final Set<Fingerprint> inFlight = new TreeSet<>();
        private final Set<Fingerprint> cleared = new TreeSet<>();
        private Fingerprint culprit;
        private Crash explainedBy;

        Crash(long number, ServerId server, long firstNanos) {
            this.number = number;
            this.server = server;
            this.firstNanos = firstNanos;
            this.expiryDeadlineNanos = firstNanos + VALID_NANOS;
        }

        Set<Fingerprint> suspects() {
            if (explainedBy != null) {
                return Set.of();
            }
            Set<Fingerprint> suspects = new TreeSet<>(inFlight);
            suspects.removeAll(cleared);
            return suspects;
        }
    }
}
