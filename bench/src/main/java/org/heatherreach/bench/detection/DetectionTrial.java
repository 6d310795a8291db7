package org.heatherreach.bench.detection;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.health.DaemonHealth;
import org.heatherreach.coordination.health.DetectionResult;
import org.heatherreach.coordination.health.EvidenceWindow;
import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.NaiveHealth;
import org.heatherreach.coordination.health.OutlierDetector;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.health.ServerFailure;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;

/**
 * One run of the daemons' health decisions of one service against drawn servers, on a virtual clock. Reports and verdicts
 * take the latency of the network and one in a hundred is lost. Confined to one thread.
 */
final class DetectionTrial {
    static final int DAEMONS = 15;

    private static final int ZONES = 3;
    private static final int FLOOR_PERCENT = 70;
    private static final double LOAD = 0.4;
    private static final double MESSAGE_LOSS = 0.01;
    private static final long MESSAGE_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The local timeout of the naive version is set per service, as a careful operator would. */
    private static final int NAIVE_TIMEOUT_FACTOR = 5;

    private static final int FAULTY_SERVER = 4;
    private static final int FAULTY_DAEMON = 2;

    private final SiteService site;
    private final Fault fault;
    private final boolean naive;
    private final long endNanos;
    private final long onsetNanos;
    private final RandomGenerator random;
    private final ServiceId service;
    private final ServiceLimits limits;
    private final List<ServerId> servers = new ArrayList<>();
    private final List<ServerModel> models = new ArrayList<>();
    private final int initialServers;
    private int[] inUse;
    private final DaemonHealth[] daemons = new DaemonHealth[DAEMONS];
    private final OutlierDetector judge;
    private final IncarnationId owner = new IncarnationId(0);
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Integer> outliers = new HashSet<>();
    private double meanGapNanos;
    private long sequence;
    private long nowNanos;
    private long detectNanos = -1;
    private long harmedRequests;
    private long mistakenEjections;
    private int minUsable = Integer.MAX_VALUE;
    private long floorBreaches;
    private double badShareSum;
    private long badShareCount;
    private long served;
    private long refused;

    DetectionTrial(SiteService site, Fault fault, boolean naive, long seed, long lengthNanos) {
        this.site = site;
        this.fault = fault;
        this.naive = naive;
        this.random = new SplittableRandom(seed);
        this.onsetNanos = WARM_UP_NANOS + random.nextLong(EvidenceWindow.INTERVAL_NANOS);
        this.endNanos = onsetNanos + lengthNanos;
        this.service = new ServiceId(site.service());
        this.limits = new ServiceLimits(service, FLOOR_PERCENT, site.slots(), 330, 10);
        this.initialServers = site.servers();
        this.judge = new OutlierDetector(service, 0);
        for (int i = 0; i < initialServers; i++) {
            addServer(i);
        }
        for (int i = 0; i < DAEMONS; i++) {
            daemons[i] = naive
                    ? new NaiveHealth(NAIVE_TIMEOUT_FACTOR * site.medianNanos())
                    : new PooledHealth(service, 0, zone(i), limits);
        }
    }

    private static ZoneId zone(int index) {
        return new ZoneId("z" + index % ZONES);
    }

    private void addServer(int index) {
        servers.add(new ServerId(site.service() + "-" + index));
        models.add(new ServerModel(site.medianNanos(), random, nowNanos));
    }

    TrialResult run(boolean stopWhenDetected) {
        inUse = new int[initialServers + 2];
        publishServers();
        meanGapNanos = ServerModel.meanNanos(site.medianNanos()) / (LOAD * site.slots() * initialServers);
        schedule(0, this::arrive);
        for (int i = 0; i < DAEMONS; i++) {
            int daemon = i;
            schedule(random.nextLong(EvidenceWindow.INTERVAL_NANOS), () -> report(daemon));
        }
        schedule(random.nextLong(EvidenceWindow.INTERVAL_NANOS), this::judge);
        if (fault == Fault.COLD_START) {
            schedule(onsetNanos, () -> {
                addServer(initialServers);
                addServer(initialServers + 1);
                publishServers();
            });
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowNanos = event.atNanos;
            if (nowNanos >= endNanos || stopWhenDetected && detectNanos >= 0) {
                break;
            }
            event.task.run();
        }
        boolean detected = detectNanos >= 0;
        return new TrialResult(
                detected ? detectNanos : endNanos - onsetNanos,
                detected,
                harmedRequests,
                mistakenEjections / (double) DAEMONS,
                Math.min(minUsable, servers.size()),
                floorBreaches,
                badShareCount == 0 ? 0 : badShareSum / badShareCount,
                outliers.size(),
                served,
                refused);
    }

    private void publishServers() {
        judge.updateServers(servers, nowNanos);
        for (DaemonHealth daemon : daemons) {
            daemon.updateServers(servers, Set.of(), nowNanos);
        }
    }

    private void arrive() {
        schedule(nowNanos + (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos), this::arrive);
        int daemon = random.nextInt(DAEMONS);
        int server = pick(daemons[daemon]);
        if (server < 0) {
            refused++;
            return;
        }
        send(daemon, server);
    }

    /** Picks a server with a free slot at random, weighted by the share of traffic that it may get. */
    private int pick(DaemonHealth daemon) {
        int total = 0;
        int[] weights = new int[servers.size()];
        for (int i = 0; i < weights.length; i++) {
            weights[i] = inUse[i] < site.slots() ? daemon.sharePercent(servers.get(i), nowNanos) : 0;
            total += weights[i];
        }
        if (total == 0) {
            return -1;
        }
        int draw = random.nextInt(total);
        int server = 0;
        while (draw >= weights[server]) {
            draw -= weights[server++];
        }
        return server;
    }

    private void send(int daemon, int server) {
        DaemonHealth health = daemons[daemon];
        inUse[server]++;
        long exchange = health.begin(servers.get(server), nowNanos);
        long since = nowNanos - onsetNanos;
        boolean faulty = server == FAULTY_SERVER;
        boolean bad = fault.isBad(since);
        if (bad && concerns(daemon, server)) {
            harmedRequests++;
        }
        boolean unreachable = bad && faulty && fault == Fault.ONE_ZONE && daemon % ZONES == 0;
        if (unreachable) {
            finish(daemon, server, CONNECT_TIMEOUT_NANOS, exchange, ServerFailure.CONNECT);
            return;
        }
        double factor = fault.slowFactor(faulty, server >= initialServers, since);
        long latency = models.get(server).drawNanos(factor, nowNanos)
                + (daemon % ZONES == server % ZONES ? 0 : 2 * site.zoneLatencyNanos());
        if (bad && faulty && fault == Fault.STALLING) {
            if (random.nextBoolean()) {
                schedule(nowNanos + latency, () -> health.responseHeadReceived(exchange, nowNanos));
            }
            finish(daemon, server, site.timeoutNanos(), exchange, ServerFailure.STALLED);
            return;
        }
        boolean error = models.get(server).drawError();
        error |= bad && faulty && fault == Fault.ERRORS && random.nextDouble() < 0.3;
        error |= bad && daemon == FAULTY_DAEMON && fault == Fault.FAULTY_DAEMON && random.nextBoolean();
        boolean truncated = bad && faulty && fault == Fault.TRUNCATING && random.nextBoolean();
        if (latency >= site.timeoutNanos()) {
            finish(daemon, server, site.timeoutNanos(), exchange, ServerFailure.STALLED);
        } else if (error) {
            finish(daemon, server, latency, exchange, ServerFailure.ERROR);
        } else if (truncated) {
            finish(daemon, server, latency, exchange, ServerFailure.TRUNCATED);
        } else {
            finish(daemon, server, latency, exchange, null);
        }
    }

    private void finish(int daemon, int server, long afterNanos, long exchange, ServerFailure kind) {
        schedule(nowNanos + afterNanos, () -> {
            inUse[server]--;
            if (kind == null) {
                served++;
                note(daemon, daemons[daemon].complete(exchange, nowNanos));
            } else {
                note(daemon, daemons[daemon].fail(exchange, kind, nowNanos));
            }
        });
    }

    private void report(int daemon) {
        schedule(nowNanos + EvidenceWindow.INTERVAL_NANOS, () -> report(daemon));
        note(daemon, daemons[daemon].tick(nowNanos));
        daemons[daemon].collectReport(nowNanos).ifPresent(report -> transmit(daemon, () -> deliver(daemon, report)));
        if (fault.hasFaultyServer() && fault.isBad(nowNanos - onsetNanos) && concerns(daemon, FAULTY_SERVER)) {
            badShareSum += daemons[daemon].sharePercent(servers.get(FAULTY_SERVER), nowNanos);
            badShareCount++;
        }
    }

    private void deliver(int daemon, HealthReport report) {
        judge.addReport(incarnation(daemon), report, nowNanos);
    }

    private void judge() {
        schedule(nowNanos + EvidenceWindow.INTERVAL_NANOS, this::judge);
        if (naive) {
            return;
        }
        DetectionResult result = judge.tick(nowNanos);
        for (int i = 0; i < DAEMONS; i++) {
            int daemon = i;
            if (result.hasMessageFor(incarnation(daemon))) {
                boolean outlier = result.outliers().contains(incarnation(daemon));
                if (outlier) {
                    outliers.add(daemon);
                }
                VerdictList list = new VerdictList(service, 0, result.verdicts(), outlier);
                transmit(daemon, () -> note(daemon, daemons[daemon].apply(owner, list, nowNanos)));
            }
        }
    }

    private void transmit(int daemon, Runnable arrival) {
        if (random.nextDouble() >= MESSAGE_LOSS) {
            long zoneLatency = daemon % ZONES == 0 ? 0 : site.zoneLatencyNanos();
            schedule(nowNanos + zoneLatency + random.nextLong(MESSAGE_JITTER_NANOS), arrival);
        }
    }

    private void note(int daemon, List<HealthAction> actions) {
        boolean changed = false;
        for (HealthAction action : actions) {
            if (action instanceof HealthAction.ChangeShare change) {
                changed = true;
                int server = servers.indexOf(change.server());
                boolean rightly = fault.hasFaultyServer() && nowNanos >= onsetNanos && concerns(daemon, server);
                if (change.afterPercent() == 0 && !rightly) {
                    mistakenEjections++;
                }
            }
        }
        if (changed) {
            checkFloor(daemon);
            checkDetected();
        }
    }

    private void checkFloor(int daemon) {
        int usable = 0;
        for (ServerId server : servers) {
            if (daemons[daemon].sharePercent(server, nowNanos) > 0) {
                usable++;
            }
        }
        minUsable = Math.min(minUsable, usable);
        if (usable < limits.floorOf(servers.size())) {
            floorBreaches++;
        }
    }

    private void checkDetected() {
        if (detectNanos >= 0 || !fault.hasFaultyServer() || nowNanos < onsetNanos) {
            return;
        }
        for (int i = 0; i < DAEMONS; i++) {
            if (concerns(i, FAULTY_SERVER) && daemons[i].sharePercent(servers.get(FAULTY_SERVER), nowNanos) > 0) {
                return;
            }
        }
        detectNanos = nowNanos - onsetNanos;
    }

    /** Returns whether the fault makes the server bad for the daemon. */
    private boolean concerns(int daemon, int server) {
        return fault.hasFaultyServer() && server == FAULTY_SERVER && (fault != Fault.ONE_ZONE || daemon % ZONES == 0);
    }

    private static IncarnationId incarnation(int daemon) {
        return new IncarnationId(daemon + 1L);
    }

    private void schedule(long atNanos, Runnable task) {
        events.add(new Event(atNanos, sequence++, task));
    }

    private record Event(long atNanos, long sequence, Runnable task) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
