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
 * Detects crashes of servers for the health duty and reports them to the owners of the services. Where this daemon is
 * the owner, it identifies the requests that cause the crashes. It also holds the set of requests that are refused.
 *
 * <p>Invariants: a crash is reported only after the server failed to answer a probe; each request that becomes refused
 * is logged once and counted.
 *
 * <p>Thread safety: confined to the thread of the health duty, except for {@link #refuses}, which reads an immutable
 * snapshot.
 */
final class CrashTracker {
    private static final Logger LOG = Logger.getLogger(CrashTracker.class);

    /** The interval at which an owner sends all suspects again, for daemons that missed an update. */
    private static final long RESEND_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Probes the health of a server. */
    @FunctionalInterface
    interface Probe {
        /** Starts a probe; the listener is called exactly once, on the thread of the duty. */
        void start(InetSocketAddress address, ProbeListener listener);
    }

    /** Receives the result of a probe. */
    @FunctionalInterface
    interface ProbeListener {
        /** Handles the result; {@code answered} tells whether the server answered at all. */
        void onResult(boolean answered, long nowNanos);
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
    private long lastResendNanos;

    /**
     * Creates a tracker.
     *
     * @param services the services by id; the duty adds and removes entries
     * @param probe probes a server that may have crashed
     * @param listener is notified of changes of the suspects
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

    /** Returns whether a request is refused because it was identified as crashing servers. */
    boolean refuses(ServiceId service, Fingerprint request) {
        Map<ServiceId, Set<Fingerprint>> snapshot = refused;
        return !snapshot.isEmpty() && snapshot.getOrDefault(service, Set.of()).contains(request);
    }

    /** Clears a request of suspicion after a server answered it. */
    void requestCompleted(HealthService service, Fingerprint request, long nowNanos) {
        service.suspects().noteCompletion(request, nowNanos).ifPresent(update -> {
            listener.onSuspectsChanged(update);
            publishRefused(service, nowNanos);
            sendToOwner(service, update, nowNanos);
        });
    }

    /** Passes the end of an exchange to the crash detector as the end of the connection that carried it. */
    void exchangeEnded(
            HealthService service, ServerId server, Fingerprint request, FailureKind failure, long nowNanos) {
        List<Fingerprint> inFlight = List.of();
        if (failure == FailureKind.TRUNCATED || failure == FailureKind.INVALID) {
            inFlight = service.crashDetector().connectionBroken(server, Optional.of(request), nowNanos);
        } else if (failure == FailureKind.CONNECT) {
            // The request was not in flight, but recording a normal close here would hide a crash that has just
            // happened.
            inFlight = service.crashDetector().connectionBroken(server, Optional.empty(), nowNanos);
        } else {
            service.crashDetector().connectionClosed(server);
        }
        if (!inFlight.isEmpty()) {
            confirmCrash(service, server, inFlight);
        }
    }

    /**
     * Probes a server whose connections broke. A server that answers has only broken individual responses and has not
     * crashed; reporting its requests would get popular requests refused at every daemon.
     */
    private void confirmCrash(HealthService service, ServerId server, List<Fingerprint> inFlight) {
        ListedServer entry = service.listed().find(server);
        if (entry == null) {
            return;
        }
        Set<Fingerprint> candidates = service.crashCandidates().get(server);
        if (candidates != null) {
            candidates.addAll(inFlight);
            return;
        }
        service.crashCandidates().put(server, new LinkedHashSet<>(inFlight));
        ServiceId id = service.id();
        probe.start(entry.server().address(), (answered, now) -> reportCrash(id, server, answered, now));
    }

    private void reportCrash(ServiceId id, ServerId server, boolean answered, long nowNanos) {
        HealthService service = services.get(id);
        Set<Fingerprint> inFlight =
                service == null ? null : service.crashCandidates().remove(server);
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
                handleReport(report, nowNanos);
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
        if (service.crashLog() != null) {
            applyFinding(service, service.crashLog().applyClearings(update, nowNanos), nowNanos);
        } else if (owner != null) {
            sender.send(owner, Frame.newBuilder().setSuspectUpdate(CrashCodec.encode(update)));
        }
    }

    /** Handles the report of a crash; counts it as stray if this daemon does not own the service. */
    void handleReport(CrashReport report, long nowNanos) {
        HealthService service = services.get(report.service());
        if (service == null || service.crashLog() == null) {
            strayMessages.increment();
            return;
        }
        crashReports.increment();
        applyFinding(service, service.crashLog().addReport(report, nowNanos), nowNanos);
    }

    /**
     * Applies suspects sent by the owner of a service or, if this daemon is the owner, clearings sent by another
     * daemon.
     */
    void handleSuspectUpdate(SuspectUpdate update, long nowNanos) {
        HealthService service = services.get(update.service());
        if (service == null) {
            strayMessages.increment();
        } else if (service.crashLog() != null) {
            applyFinding(service, service.crashLog().applyClearings(update, nowNanos), nowNanos);
        } else {
            applySuspects(service, update, nowNanos);
        }
    }

    /** Applies a finding of this daemon as the owner of a service and sends the changed suspects to its peers. */
    private void applyFinding(HealthService service, CrashFinding finding, long nowNanos) {
        for (CrashFinding.ExplainedCrash explainedCrash : finding.explained()) {
            HealthPart part = service.partOf(explainedCrash.server());
            if (part != null && part.outlierDetector() != null) {
                part.outlierDetector()
                        .suppressExplainedCrash(explainedCrash.server(), explainedCrash.crashNanos(), nowNanos);
            }
        }
        if (!finding.update().suspects().isEmpty()) {
            sendToPeers(finding.update());
            applySuspects(service, finding.update(), nowNanos);
        }
    }

    private void sendToPeers(SuspectUpdate update) {
        var message = CrashCodec.encode(update);
        owners.peers().forEach(peer -> sender.send(peer, Frame.newBuilder().setSuspectUpdate(message)));
    }

    private void applySuspects(HealthService service, SuspectUpdate update, long nowNanos) {
        service.suspects().apply(update, nowNanos);
        for (Suspect suspect : update.suspects()) {
            if (suspect.refused() && !suspect.isCleared()) {
                service.addRefusalCandidate(suspect.fingerprint());
            }
        }
        listener.onSuspectsChanged(update);
        publishRefused(service, nowNanos);
    }

    /** Publishes the requests of a service that are refused at present; a refusal ends at its deadline. */
    void publishRefused(HealthService service, long nowNanos) {
        Set<Fingerprint> current = service.updateRefused(nowNanos);
        if (current == null) {
            return;
        }
        Map<ServiceId, Set<Fingerprint>> next = new HashMap<>(refused);
        Set<Fingerprint> before = next.getOrDefault(service.id(), Set.of());
        for (Fingerprint request : current) {
            if (!before.contains(request)) {
                refusedRequests.increment();
                LOG.warnf("Request %s of service %s crashes servers and is refused", request, service.id());
            }
        }
        if (current.isEmpty()) {
            next.remove(service.id());
        } else {
            next.put(service.id(), current);
        }
        refused = Map.copyOf(next);
    }

    /** Sends all suspects of the owned services to the peers if the resend interval has passed. */
    void resendSuspectsIfDue(long nowNanos) {
        if (nowNanos - lastResendNanos < RESEND_INTERVAL_NANOS) {
            return;
        }
        lastResendNanos = nowNanos;
        for (HealthService service : services.values()) {
            if (service.crashLog() != null) {
                SuspectUpdate snapshot = service.crashLog().snapshot(nowNanos);
                if (!snapshot.suspects().isEmpty()) {
                    sendToPeers(snapshot);
                }
            }
        }
    }

    /** Makes the next resend of the suspects due at once. */
    void requestResend(long nowNanos) {
        lastResendNanos = nowNanos - RESEND_INTERVAL_NANOS;
    }

    /** Creates or drops the crash log of a service after its owner may have changed. */
    void updateCrashLog(HealthService service) {
        IncarnationId owner = ownerOf(service);
        if (owner == null || !owners.isSelf(owner)) {
            service.setCrashLog(null);
        } else if (service.crashLog() == null) {
            service.setCrashLog(new CrashLog(service.id(), random));
        }
    }
}
