package org.heatherreach.bench.detection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.crash.CrashFinding;
import org.heatherreach.coordination.crash.CrashGuard;
import org.heatherreach.coordination.crash.CrashLog;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.NaiveCrashGuard;
import org.heatherreach.coordination.crash.SuspectList;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * One run of the daemons' decisions about crashing requests on a virtual clock. A crashing request takes down its server
 * for 3 s; its caller and those of innocent requests that were lost send again. Confined to one thread.
 */
final class CrashTrial {
    private static final int DAEMONS = 15;
    private static final double LOAD = 0.4;
    private static final long RESTART_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long CRASH_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MESSAGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long ONSET_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long END_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final SiteService site;
    private final int crashers;
    private final RandomGenerator random;
    private final CrashLog log;
    private final List<CrashGuard> guards = new ArrayList<>();
    private final List<List<Running>> running = new ArrayList<>();
    private final long[] upNanos;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Fingerprint> innocentsRefused = new HashSet<>();
    private final Set<Fingerprint> innocentsHeld = new HashSet<>();
    private final double meanGapNanos;
    private long sequence;
    private long nowNanos;
    private long nextInnocent = 1_000;
    private int crashes;
    private long identifiedNanos = -1;
    private int crashesWhenIdentified;
    private long innocentsLost;

    CrashTrial(SiteService site, int crashers, boolean naive, long seed) {
        this.site = site;
        this.crashers = crashers;
        this.random = new SplittableRandom(seed);
        ServiceId service = new ServiceId(site.service());
        this.log = new CrashLog(service, random);
        for (int i = 0; i < DAEMONS; i++) {
            guards.add(naive ? new NaiveCrashGuard() : new SuspectList(service));
        }
        for (int i = 0; i < site.servers(); i++) {
            running.add(new ArrayList<>());
        }
        this.upNanos = new long[site.servers()];
        this.meanGapNanos = ServerModel.meanNanos(site.medianNanos()) / (LOAD * site.slots() * site.servers());
    }

    Result run() {
        schedule(0, this::arrive);
        for (int i = 0; i < crashers; i++) {
            Fingerprint request = fingerprint(i);
            schedule(ONSET_NANOS + random.nextLong(RESEND_NANOS), () -> send(request));
        }
        while (!events.isEmpty() && events.peek().atNanos < END_NANOS) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            event.task.run();
        }
        return new Result(
                crashes,
                identifiedNanos >= 0,
                identifiedNanos >= 0 ? crashesWhenIdentified : crashes,
                innocentsRefused.size(),
                innocentsHeld.size(),
                innocentsLost);
    }

    private void arrive() {
        schedule(nowNanos + (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos), this::arrive);
        send(fingerprint(nextInnocent++));
    }

    private void send(Fingerprint request) {
        int daemon = random.nextInt(DAEMONS);
        CrashGuard guard = guards.get(daemon);
        if (guard.refuses(request, nowNanos)) {
            if (isCrasher(request)) {
                schedule(nowNanos + RESEND_NANOS, () -> send(request));
            } else {
                innocentsRefused.add(request);
            }
            return;
        }
        List<Integer> free = new ArrayList<>();
        boolean held = false;
        for (int i = 0; i < site.servers(); i++) {
            if (nowNanos >= upNanos[i] && running.get(i).size() < site.slots()) {
                if (guard.mayPlace(request, new ServerId("server-" + i), nowNanos)) {
                    free.add(i);
                } else {
                    held = true;
                }
            }
        }
        if (free.isEmpty()) {
            if (held && !isCrasher(request)) {
                innocentsHeld.add(request);
            }
            schedule(nowNanos + RESEND_NANOS, () -> send(request));
            return;
        }
        int server = free.get(random.nextInt(free.size()));
        Running run = new Running(daemon, request);
        running.get(server).add(run);
        if (isCrasher(request)) {
            schedule(nowNanos + CRASH_AFTER_NANOS, () -> crash(server, run));
        } else {
            long latency = (long) (site.medianNanos() * Math.exp(0.5 * random.nextGaussian()));
            schedule(nowNanos + latency, () -> complete(server, run));
        }
    }

    private void complete(int server, Running run) {
        if (running.get(server).remove(run)) {
            guards.get(run.daemon)
                    .noteCompletion(run.request, nowNanos)
                    .ifPresent(
                            update -> schedule(nowNanos + delay(), () -> spread(log.applyClearings(update, nowNanos))));
        }
    }

    private void crash(int server, Running cause) {
        if (!running.get(server).contains(cause)) {
            return;
        }
        crashes++;
        upNanos[server] = nowNanos + RESTART_NANOS;
        List<Running> lost = List.copyOf(running.get(server));
        running.get(server).clear();
        for (int i = 0; i < DAEMONS; i++) {
            int daemon = i;
            List<Fingerprint> inFlight = lost.stream()
                    .filter(run -> run.daemon == daemon)
                    .map(Running::request)
                    .toList();
            guards.get(i)
                    .noteCrash(new ServerId("server-" + server), inFlight, nowNanos)
                    .ifPresent(report -> schedule(nowNanos + delay(), () -> deliver(report)));
        }
        for (Running run : lost) {
            if (!isCrasher(run.request)) {
                innocentsLost++;
            }
            schedule(nowNanos + RESEND_NANOS, () -> send(run.request));
        }
        checkIdentified();
    }

    private void deliver(CrashReport report) {
        spread(log.addReport(report, nowNanos));
    }

    private void spread(CrashFinding finding) {
        SuspectUpdate update = finding.update();
        for (CrashGuard guard : guards) {
            schedule(nowNanos + delay(), () -> {
                guard.apply(update, nowNanos);
                checkIdentified();
            });
        }
    }

    private void checkIdentified() {
        if (identifiedNanos >= 0) {
            return;
        }
        for (CrashGuard guard : guards) {
            for (int i = 0; i < crashers; i++) {
                if (!guard.refuses(fingerprint(i), nowNanos)) {
                    return;
                }
            }
        }
        identifiedNanos = nowNanos;
        crashesWhenIdentified = crashes;
    }

    private long delay() {
        return random.nextLong(MESSAGE_NANOS) + TimeUnit.MICROSECONDS.toNanos(100);
    }

    private boolean isCrasher(Fingerprint request) {
        for (int i = 0; i < crashers; i++) {
            if (request.equals(fingerprint(i))) {
                return true;
            }
        }
        return false;
    }

    private static Fingerprint fingerprint(long number) {
        return new Fingerprint((number + 1) * 0x9E3779B97F4A7C15L);
    }

    private void schedule(long atNanos, Runnable task) {
        events.add(new Event(atNanos, sequence++, task));
    }

    /**
     * What one trial showed. Immutable and safe for use by any thread.
     *
     * @param crashes the crashes in the whole trial
     * @param identified whether every daemon came to refuse every crashing request
     * @param crashesWhenIdentified the crashes until then, or in the whole trial
     * @param innocentsRefused innocent requests that were refused at least once
     * @param innocentsHeld innocent requests that had to wait although a server was free
     * @param innocentsLost innocent requests in flight on crashing servers
     */
    record Result(
            int crashes,
            boolean identified,
            int crashesWhenIdentified,
            int innocentsRefused,
            int innocentsHeld,
            long innocentsLost) {}

    private record Running(int daemon, Fingerprint request) {}

    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
