package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.health.ProbePlan;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * Probes those servers without traffic that this daemon is to probe, each about once a second.
 *
 * <p>Invariants: the daemons of an availability zone divide the servers among them; at most {@link #MAX_PROBES} probes
 * are in flight. Confined to the thread of the health duty; only the listener is called by other threads.
 */
final class ProbeScheduler {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A server without traffic for longer than two probe intervals counts as idle. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double JITTER_MIN_FACTOR = 0.75;
    private static final double JITTER_FACTOR_RANGE = 0.5;

    /** A probe takes 1 s at most, so this bounds the probes of a daemon to 64 a second if all of them time out. */
    private static final int MAX_PROBES = 64;

    /** Receives the results of probes. */
    @FunctionalInterface
    interface ResultListener {
        /** Handles a result, on an event loop; {@link #probeEnded} is then due on the thread of the duty. */
        void onResult(ServiceId service, ServerId server, ServerProber.Result result);
    }

    private final Map<ServiceId, HealthService> services;
    private final ServerProber prober;
    private final RandomGenerator random;
    private final ResultListener listener;
    private ProbePlan plan = new ProbePlan(List.of());
    private int probesInFlight;

    /**
     * Creates a scheduler without any server to probe.
     *
     * @param services the services by id; the duty adds and removes entries
     */
    ProbeScheduler(
            Map<ServiceId, HealthService> services,
            ServerProber prober,
            RandomGenerator random,
            ResultListener listener) {
        this.services = Objects.requireNonNull(services, "services");
        this.prober = Objects.requireNonNull(prober, "prober");
        this.random = Objects.requireNonNull(random, "random");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Sets the daemons that divide the servers among them: those of the given availability zone. */
    void setDaemons(Map<IncarnationId, ZoneId> liveZones, ZoneId zone) {
        Collection<IncarnationId> daemons = liveZones.entrySet().stream()
                .filter(entry -> entry.getValue().equals(zone))
                .map(Map.Entry::getKey)
                .toList();
        plan = new ProbePlan(daemons);
    }

    /** Assigns the listed servers of a service to the daemons. */
    void assign(HealthService service, IncarnationId self) {
        List<ServerId> ids = new ArrayList<>();
        service.listed().servers().forEach(entry -> ids.add(entry.server().id()));
        Set<ServerId> assigned = new HashSet<>(plan.serversOf(self, ids));
        service.setProbeTargets(service.listed().servers().stream()
                .filter(entry -> assigned.contains(entry.server().id()))
                .toList());
    }

    /** Starts the probes that are due. */
    void startDue(long nowNanos) {
        for (HealthService service : services.values()) {
            for (ListedServer target : service.probeTargets()) {
                if (probesInFlight >= MAX_PROBES) {
                    return;
                }
                startIfDue(service, target, nowNanos);
            }
        }
    }

    /** Records that the listener received the result of a probe. */
    void probeEnded() {
        probesInFlight--;
    }

    private void startIfDue(HealthService service, ListedServer target, long nowNanos) {
        ServerId server = target.server().id();
        Long dueNanos = service.probeDeadlines().get(server);
        if (dueNanos != null && nowNanos - dueNanos < 0) {
            return;
        }
        double factor =
                dueNanos == null ? random.nextDouble() : JITTER_MIN_FACTOR + JITTER_FACTOR_RANGE * random.nextDouble();
        service.probeDeadlines().put(server, nowNanos + (long) (INTERVAL_NANOS * factor));
        if (dueNanos != null && isUnused(service, server, nowNanos)) {
            probesInFlight++;
            ServiceId id = service.id();
            prober.probe(target.server().address(), result -> listener.onResult(id, server, result));
        }
    }

    private static boolean isUnused(HealthService service, ServerId server, long nowNanos) {
        return service.shares().getOrDefault(server, 100) == 0 || service.isIdle(server, IDLE_NANOS, nowNanos);
    }
}
