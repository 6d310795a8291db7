package org.heatherreach.coordination.crash;

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
 * The crashes of the servers of one service. Kept by the owner of the service, which identifies the requests that cause
 * them.
 *
 * <p>All requests in flight during a crash become its suspects. If exactly one of the requests in flight during a crash
 * is a suspect of an earlier crash (an earlier suspect), that request is identified: it is refused, the other suspects
 * of its crashes are cleared, and its crashes are attributed to it. If the request nevertheless completes normally, its
 * identification is withdrawn. If several earlier suspects were in flight, which happens only before all daemons know
 * them, none is identified until a further crash separates them.
 *
 * <p>Invariants: a cleared request is no suspect of any crash before its clearing; a refused request has been in flight
 * in at least two crashes; the number of crashes kept is bounded.
 *
 * <p>Confined to one duty thread.
 */
public final class CrashLog {
    /** How long a request stays a suspect, and how long it is refused once identified. */
    public static final long VALID_NANOS = TimeUnit.MINUTES.toNanos(15);

    /** Reports about one server within this time belong to the same crash; daemons detect it at different times. */
    private static final long REPORT_MERGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** How long snapshots repeat a clearing, in case an update was lost. */
    private static final long CLEARING_VALID_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int MAX_CRASHES = 256;
    private static final int MAX_SUSPECTS_PER_CRASH = 1024;

    private final ServiceId service;
    private final RandomGenerator random;
    private final List<Crash> crashes = new ArrayList<>();
    private final Map<Fingerprint, Identification> identified = new LinkedHashMap<>();
    private final Map<Fingerprint, Long> clearedDeadlines = new LinkedHashMap<>();

    /**
     * Creates an empty log.
     *
     * @param random generates the numbers of crashes, which must differ between owners
     */
    public CrashLog(ServiceId service, RandomGenerator random) {
        this.service = Objects.requireNonNull(service, "service");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Adds the report of one daemon.
     *
     * @throws IllegalArgumentException if the report is for another service
     */
    public CrashFinding addReport(CrashReport report, long nowNanos) {
        checkService(report.service());
        expire(nowNanos);
        SuspectState before = new SuspectState(nowNanos);
        Crash crash = findOrAddCrash(report.server(), nowNanos);
        for (Fingerprint request : report.fingerprints()) {
            if (crash.inFlight.size() < MAX_SUSPECTS_PER_CRASH) {
                crash.inFlight.add(request);
            }
        }
        identify(crash);
        return changesBetween(before, new SuspectState(nowNanos), nowNanos);
    }

    /**
     * Applies the clearings in an update from a daemon; its other entries are ignored. A request that completed
     * normally does not crash servers, so it is cleared even if it was identified. This may leave a crash with a single
     * earlier suspect, which is then identified.
     *
     * @throws IllegalArgumentException if the update is for another service
     */
    public CrashFinding applyClearings(SuspectUpdate update, long nowNanos) {
        checkService(update.service());
        expire(nowNanos);
        SuspectState before = new SuspectState(nowNanos);
        for (Suspect suspect : update.suspects()) {
            if (suspect.isCleared()) {
                clearRequest(suspect.fingerprint());
            }
        }
        return changesBetween(before, new SuspectState(nowNanos), nowNanos);
    }

    /** Returns all suspects and recent clearings, for daemons that may have missed updates. */
    public SuspectUpdate snapshot(long nowNanos) {
        expire(nowNanos);
        SuspectState state = new SuspectState(nowNanos);
        List<Suspect> suspects = new ArrayList<>();
        for (Fingerprint request : clearedDeadlines.keySet()) {
            if (!state.suspectsByRequest.containsKey(request)) {
                suspects.add(Suspect.cleared(request));
            }
        }
        state.suspectsByRequest.values().forEach(suspects::addAll);
        return new SuspectUpdate(service, suspects);
    }

    /** Returns whether a request is identified and therefore refused. */
    public boolean refuses(Fingerprint request, long nowNanos) {
        expire(nowNanos);
        return identified.containsKey(request);
    }

    /** Attributes the crash to an identified request, or identifies its only earlier suspect. */
    private void identify(Crash crash) {
        for (Fingerprint request : crash.inFlight) {
            Identification identification = identified.get(request);
            // The request that this crash itself identified may change while further reports of the crash arrive.
            if (identification != null && identification.crash != crash) {
                crash.explainedBy = crash;
                return;
            }
        }
        withdrawIdentification(crash);
        Set<Fingerprint> earlierSuspects = earlierSuspects(crash);
        if (earlierSuspects.size() == 1) {
            Fingerprint identifiedRequest = earlierSuspects.iterator().next();
            crash.identifiedRequest = identifiedRequest;
            int crashCount = 0;
            for (Crash other : crashes) {
                if (other.inFlight.contains(identifiedRequest)) {
                    crashCount++;
                    if (other.explainedBy == null) {
                        other.explainedBy = crash;
                    }
                }
            }
            identified.put(identifiedRequest, new Identification(crash, crashCount, crash.expiryDeadlineNanos));
        }
    }

    /** Withdraws the identification made by a crash, so that the crashes attributed to it are unexplained again. */
    private void withdrawIdentification(Crash crash) {
        if (crash.identifiedRequest != null) {
            identified.remove(crash.identifiedRequest);
            crash.identifiedRequest = null;
        }
        for (Crash other : crashes) {
            if (other.explainedBy == crash) {
                other.explainedBy = null;
            }
        }
    }

    private Set<Fingerprint> earlierSuspects(Crash crash) {
        Set<Fingerprint> earlierSuspects = new TreeSet<>();
        for (Crash other : crashes) {
            if (other == crash) {
                // The list is in the order of the first reports, so all further crashes are later.
                break;
            }
            for (Fingerprint request : crash.inFlight) {
                if (other.suspects().contains(request) && !crash.cleared.contains(request)) {
                    earlierSuspects.add(request);
                }
            }
        }
        return earlierSuspects;
    }

    private void clearRequest(Fingerprint request) {
        Identification identification = identified.get(request);
        if (identification != null) {
            withdrawIdentification(identification.crash);
            identified.remove(request);
        }
        for (Crash crash : crashes) {
            if (crash.inFlight.contains(request)) {
                crash.cleared.add(request);
            }
        }
        for (Crash crash : crashes) {
            if (crash.cleared.contains(request) && crash.explainedBy == null) {
                identify(crash);
            }
        }
    }

    /** Returns the difference between two states, and remembers the requests that are no longer suspects as cleared. */
    private CrashFinding changesBetween(SuspectState before, SuspectState after, long nowNanos) {
        List<Suspect> changed = new ArrayList<>();
        before.suspectsByRequest.forEach((request, entries) -> {
            List<Suspect> remaining = after.suspectsByRequest.getOrDefault(request, List.of());
            if (!remaining.containsAll(entries)) {
                // A clearing removes every entry of the request, so the entries that remain valid are sent after it.
                changed.add(Suspect.cleared(request));
                changed.addAll(remaining);
            }
            if (remaining.isEmpty()) {
                clearedDeadlines.put(request, nowNanos + CLEARING_VALID_NANOS);
            }
        });
        after.suspectsByRequest.forEach((request, entries) -> {
            List<Suspect> old = before.suspectsByRequest.getOrDefault(request, List.of());
            if (entries.containsAll(old)) {
                entries.stream().filter(entry -> !old.contains(entry)).forEach(changed::add);
            }
        });
        List<CrashFinding.ExplainedCrash> explained = new ArrayList<>();
        for (Crash crash : crashes) {
            if (crash.explainedBy != null && !before.explainedCrashes.contains(crash)) {
                explained.add(new CrashFinding.ExplainedCrash(crash.server, crash.firstReportNanos));
            }
        }
        return new CrashFinding(new SuspectUpdate(service, changed), explained);
    }

    private Crash findOrAddCrash(ServerId server, long nowNanos) {
        for (Crash crash : crashes) {
            if (crash.server.equals(server) && nowNanos - crash.firstReportNanos < REPORT_MERGE_NANOS) {
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
        identified.values().removeIf(identification -> nowNanos - identification.expiryDeadlineNanos >= 0);
        clearedDeadlines.values().removeIf(deadline -> nowNanos - deadline >= 0);
    }

    private void checkService(ServiceId other) {
        if (!service.equals(other)) {
            throw new IllegalArgumentException("message for service " + other + ", expected " + service);
        }
    }

    private record Identification(Crash crash, int crashCount, long expiryDeadlineNanos) {}

    /** The suspects, identified requests and explained crashes at one point in time. */
    private final class SuspectState {
        private final Map<Fingerprint, List<Suspect>> suspectsByRequest = new TreeMap<>();
        private final Set<Crash> explainedCrashes = new HashSet<>();

        SuspectState(long nowNanos) {
            Map<Fingerprint, Integer> counts = new HashMap<>();
            for (Crash crash : crashes) {
                crash.inFlight.forEach(request -> counts.merge(request, 1, Integer::sum));
                if (crash.explainedBy != null) {
                    explainedCrashes.add(crash);
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
            identified.forEach((request, identification) -> {
                suspectsByRequest.remove(request);
                add(new Suspect(
                        request,
                        identification.crashCount,
                        true,
                        millisUntil(identification.expiryDeadlineNanos, nowNanos),
                        identification.crash.number));
            });
        }

        private void add(Suspect suspect) {
            suspectsByRequest
                    .computeIfAbsent(suspect.fingerprint(), key -> new ArrayList<>())
                    .add(suspect);
        }
    }

    private static final class Crash {
        private final long number;
        private final ServerId server;
        private final long firstReportNanos;
        private final long expiryDeadlineNanos;
        private final Set<Fingerprint> inFlight = new TreeSet<>();

        /** The requests in flight that have completed normally since. */
        private final Set<Fingerprint> cleared = new TreeSet<>();

        /** The request that was identified by means of this crash; null if there is none. */
        private Fingerprint identifiedRequest;

        /** The crash whose evaluation attributed this crash to an identified request; null if it is unexplained. */
        private Crash explainedBy;

        Crash(long number, ServerId server, long firstReportNanos) {
            this.number = number;
            this.server = server;
            this.firstReportNanos = firstReportNanos;
            this.expiryDeadlineNanos = firstReportNanos + VALID_NANOS;
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
