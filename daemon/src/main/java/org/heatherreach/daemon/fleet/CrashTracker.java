package org.heatherreach.daemon.fleet;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.crash.CrashFinding;
import org.heatherreach.coordination.crash.CrashLog;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.Suspect;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.FailureKind;
import org.jboss.logging.Logger;

/**
 * Recognises crashes of servers for the health duty, reports them to the owners of the services, concludes on them where
 * this daemon is the owner, and keeps which requests are refused.
 *
 * <p>Invariants: a crash is reported only after the server did not answer a probe; each request that begins to be refused
 * is logged once and counted.
 *
 * <p>Thread safety: confined to the thread of the health duty, but for {@link #refuses}, which reads an immutable
 * snapshot.
 */
final class CrashTracker {
    private static final Logger LOG = Logger.getLogger(CrashTracker.class);

    /** Daemons that missed an update of the suspects learn them from this repetition. */
    private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Asks a server for its health. */
    @FunctionalInterface
    interface Probe {
        /** Starts a probe; its result is taken exactly once, on the thread of the duty. */
        void start(InetSocketAddress address, ProbeListener listener);
    }

    /** Takes whether a server answered a probe. */
    @FunctionalInterface
    interface ProbeListener {
        /** Takes the result at the given time. */
        void take(boolean answered, long nowNanos);
    }

    private final Map<ServiceId, HealthService> services;
    private final PartOwners owners;
    private final PeerSender sender;
    private final Probe probe;
    private final HealthListener listener;
    private final RandomGenerator random;
    private final Counter strayMessages;
    private final Counter crashReports;
    private final Counter unconfirmedCrashes;
    private final Counter refusedRequests;
    private volatile Map<ServiceId, Set<Fingerprint>> refused = Map.of();
    private long repeatNanos;

    /**
     * Creates a tracker.
     *
     * @param services the services of the duty, which changes them
     * @param probe asks a server that may have crashed
     * @param listener learns suspects
     */
    CrashTracker(
            Map<ServiceId, HealthService> services,
            PartOwners owners,
            PeerSender sender,
            Probe probe,
            HealthListener listener,
            RandomGenerator random,
            MeterRegistry registry) {
        this.services = Objects.requireNonNull(services, "services");
        this.owners = Objects.requireNonNull(owners, "owners");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.probe = Objects.requireNonNull(probe, "probe");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.random = Objects.requireNonNull(random, "random");
        strayMessages = registry.counter("heatherreach.health.stray.messages");
        crashReports = registry.counter("heatherreach.health.crash.reports");
        unconfirmedCrashes = registry.counter("heatherreach.health.crash.unconfirmed");
        refusedRequests = registry.counter("heatherreach.health.changes", "change", "request-refused");
    }

    /** Returns whether a request is refused because it crashes servers. */
    boolean refuses(ServiceId service, Fingerprint request) {
        Map<ServiceId, Set<Fingerprint>> snapshot = refused;
        return !snapshot.isEmpty() && snapshot.getOrDefault(service, Set.of()).contains(request);
    }

    /** Clears a suspect that a server answered. */
    void complete(HealthService service, Fingerprint request, long nowNanos) {
        service.suspects().noteCompletion(request, nowNanos).ifPresent(update -> {
            listener.changeSuspects(update);
            publishRefused(service, nowNanos);
            sendToOwner(service, update, nowNanos);
        });
    }

    /** Notes the end of an exchange, which stands for the connection that carried it. */
    void watchConnection(
            HealthService service, ServerId server, Fingerprint request, FailureKind failure, long nowNanos) {
        List<Fingerprint> inFlight = List.of();
        if (failure == FailureKind.TRUNCATED) {
            inFlight = service.breaks().connectionBroken(server, Optional.of(request), nowNanos);
        } else if (failure == FailureKind.CONNECT) {
            // A request that is refused by a server which has just crashed must not hide the crash.
            inFlight = service.breaks().connectionBroken(server, Optional.empty(), nowNanos);
        } else {
            service.breaks().connectionClosed(server);
        }
        if (!inFlight.isEmpty()) {
            confirmCrash(service, server, inFlight);
        }
    }

    /**
     * Asks a server whose connections broke for its health. One that answers breaks single responses and has not
     * crashed; to report its requests would refuse popular ones everywhere.
     */
    private void confirmCrash(HealthService service, ServerId server, List<Fingerprint> inFlight) {
        ListedServer entry = service.listed().find(server);
        if (entry == null) {
            return;
        }
        Set<Fingerprint> waiting = service.unconfirmed().get(server);
        if (waiting != null) {
            waiting.addAll(inFlight);
            return;
        }
        service.unconfirmed().put(server, new LinkedHashSet<>(inFlight));
        ServiceId id = service.id();
        probe.start(entry.server().address(), (answered, now) -> reportCrash(id, server, answered, now));
    }

    private void reportCrash(ServiceId id, ServerId server, boolean answered, long nowNanos) {
        HealthService service = services.get(id);
        Set<Fingerprint> inFlight =
                service == null ? null : service.unconfirmed().remove(server);
        if (inFlight == null) {
            return;
        }
        if (answered) {
            unconfirmedCrashes.increment();
            return;
        }
        service.suspects().noteCrash(server, List.copyOf(inFlight), nowNanos).ifPresent(report -> {
            IncarnationId owner = ownerOf(service);
            if (owner == null) {
                return;
            }
            if (owners.isSelf(owner)) {
                takeReport(report, nowNanos);
            } else {
                sender.send(owner, Frame.newBuilder().setCrashReport(CrashCodec.encode(report)));
            }
        });
    }

    private static IncarnationId ownerOf(HealthService service) {
        return service.parts().isEmpty() ? null : service.parts().get(0).owner();
    }

    private void sendToOwner(HealthService service, SuspectUpdate update, long nowNanos) {
        IncarnationId owner = ownerOf(service);
        if (service.crashes() != null) {
            spread(service, service.crashes().applyClearings(update, nowNanos), nowNanos);
        } else if (owner != null) {
            sender.send(owner, Frame.newBuilder().setSuspectUpdate(CrashCodec.encode(update)));
        }
    }

    /** Takes the report of a crash if this daemon owns the service. */
    void takeReport(CrashReport report, long nowNanos) {
        HealthService service = services.get(report.service());
        if (service == null || service.crashes() == null) {
            strayMessages.increment();
            return;
        }
        crashReports.increment();
        spread(service, service.crashes().addReport(report, nowNanos), nowNanos);
    }

    /** Takes suspects that the owner of a service spread, or the clearing of one if this daemon is the owner. */
    void takeSuspects(SuspectUpdate update, long nowNanos) {
        HealthService service = services.get(update.service());
        if (service == null) {
            strayMessages.increment();
        } else if (service.crashes() != null) {
            spread(service, service.crashes().applyClearings(update, nowNanos), nowNanos);
        } else {
            applySuspects(service, update, nowNanos);
        }
    }

    /** Carries out what the owner of a service concluded. */
    private void spread(HealthService service, CrashFinding finding, long nowNanos) {
        for (CrashFinding.ExplainedCrash explained : finding.explained()) {
            HealthPart part = service.partOf(explained.server());
            if (part != null && part.judge() != null) {
                part.judge().suppressExplainedCrash(explained.server(), explained.crashNanos(), nowNanos);
            }
        }
        if (!finding.update().suspects().isEmpty()) {
            sendToPeers(finding.update());
            applySuspects(service, finding.update(), nowNanos);
        }
    }

    private void sendToPeers(SuspectUpdate update) {
        var wire = CrashCodec.encode(update);
        owners.peers().forEach(peer -> sender.send(peer, Frame.newBuilder().setSuspectUpdate(wire)));
    }

    private void applySuspects(HealthService service, SuspectUpdate update, long nowNanos) {
        service.suspects().apply(update, nowNanos);
        for (Suspect suspect : update.suspects()) {
            if (suspect.refused() && !suspect.isCleared()) {
                service.noteRefused(suspect.fingerprint());
            }
        }
        listener.changeSuspects(update);
        publishRefused(service, nowNanos);
    }

    /** Publishes which requests of a service are refused now; refusals end by their deadlines. */
    void publishRefused(HealthService service, long nowNanos) {
        Set<Fingerprint> now = service.updateRefused(nowNanos);
        if (now == null) {
            return;
        }
        Map<ServiceId, Set<Fingerprint>> next = new HashMap<>(refused);
        Set<Fingerprint> before = next.getOrDefault(service.id(), Set.of());
        for (Fingerprint request : now) {
            if (!before.contains(request)) {
                refusedRequests.increment();
                LOG.warnf("Request %s of service %s crashes servers and is refused", request, service.id());
            }
        }
        if (now.isEmpty()) {
            next.remove(service.id());
        } else {
            next.put(service.id(), now);
        }
        refused = Map.copyOf(next);
    }

    /** Spreads the suspects again if that is due. */
    void repeatSuspects(long nowNanos) {
        if (nowNanos - repeatNanos < REPEAT_NANOS) {
            return;
        }
        repeatNanos = nowNanos;
        for (HealthService service : services.values()) {
            if (service.crashes() != null) {
                SuspectUpdate snapshot = service.crashes().snapshot(nowNanos);
                if (!snapshot.suspects().isEmpty()) {
                    sendToPeers(snapshot);
                }
            }
        }
    }

    /** Makes the repetition of the suspects due. */
    void wantRepetition(long nowNanos) {
        repeatNanos = nowNanos - REPEAT_NANOS;
    }

    /** Begins or ends to keep the crashes of a service after its owner may have changed. */
    void updateOwner(HealthService service) {
        IncarnationId owner = ownerOf(service);
        if (owner == null || !owners.isSelf(owner)) {
            service.useCrashes(null);
        } else if (service.crashes() == null) {
            service.useCrashes(new CrashLog(service.id(), random));
        }
    }
}
