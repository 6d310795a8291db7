package org.heatherreach.daemon.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.health.DetectionResult;
import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.Verdict;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.protocol.peer.HealthCodec;
import org.heatherreach.protocol.peer.wire.Frame;
import org.heatherreach.protocol.peer.wire.ProbeResult;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Exchanges evidence and verdicts with the other daemons: reports the evidence of this daemon to the owner of each
 * service part, evaluates the reports on the parts that this daemon owns, and applies verdicts.
 *
 * <p>Invariants: what this daemon sends to itself takes the same way as a message of a peer, except for draining servers,
 * which it knows already; a message on a part that this daemon does not have is counted and dropped.
 *
 * <p>Thread safety: confined to the duty thread.
 */
final class HealthMessages {
    private final Map<ServiceId, HealthService> services;
    private final MemberDirectory members;
    private final PartOwners owners;
    private final PeerSender sender;
    private final HealthPublisher publisher;
    private final HealthChanges healthChanges;
    private final Counter strayMessages;

    /**
     * Creates an instance.
     *
     * @param services a view of the services of the duty
     * @param members the members of the fleet
     * @param owners the owners of the service parts
     * @param sender sends messages to other daemons
     * @param publisher publishes what a message changes
     * @param healthChanges logs and counts the changes
     * @param registry the registry of the counters
     */
    HealthMessages(
            Map<ServiceId, HealthService> services,
            MemberDirectory members,
            PartOwners owners,
            PeerSender sender,
            HealthPublisher publisher,
            HealthChanges healthChanges,
            MeterRegistry registry) {
        this.services = Objects.requireNonNull(services, "services");
        this.members = Objects.requireNonNull(members, "members");
        this.owners = Objects.requireNonNull(owners, "owners");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.publisher = Objects.requireNonNull(publisher, "publisher");
        this.healthChanges = Objects.requireNonNull(healthChanges, "healthChanges");
        this.strayMessages = registry.counter("heatherreach.health.stray.messages");
    }

    /** Sends a server that this daemon found to be draining to the daemons that have to know it at once. */
    void announceLeaving(HealthPart part, ServerId server, long nowNanos) {
        if (part.outlierDetector() != null) {
            sendVerdicts(part, List.of(), Set.of(), nowNanos);
        } else if (part.owner() != null) {
            report(part, Set.of(server), nowNanos);
        }
    }

    /**
     * Reports the evidence and the results of probes that were collected since the last report to the owner of a part;
     * sends nothing if there are none.
     *
     * @param leaving the draining servers to report
     */
    void report(HealthPart part, Collection<ServerId> leaving, long nowNanos) {
        Optional<HealthReport> report = part.health().collectReport(nowNanos);
        List<ProbeResult> probes = part.takeProbeResults();
        if (part.owner() == null || report.isEmpty() && probes.isEmpty() && leaving.isEmpty()) {
            return;
        }
        HealthReport fullReport = report.orElseGet(() -> new HealthReport(
                part.id().service(), part.id().part(), members.self().zone(), List.of()));
        if (owners.isSelf(part.owner())) {
            handleReport(part.owner(), fullReport, probes, List.copyOf(leaving), nowNanos);
            return;
        }
        var message = HealthCodec.encode(fullReport).toBuilder().addAllProbes(probes);
        leaving.forEach(server -> message.addLeaving(server.value()));
        sender.send(part.owner(), Frame.newBuilder().setHealthReport(message));
    }

    /** Handles a report on a part that this daemon owns; one on any other part is counted and dropped. */
    void handleReport(
            IncarnationId observer,
            HealthReport report,
            List<ProbeResult> probes,
            List<ServerId> leaving,
            long nowNanos) {
        HealthPart part = findPart(report.service(), report.part());
        if (part == null || part.outlierDetector() == null) {
            strayMessages.increment();
            return;
        }
        if (!report.evidence().isEmpty()) {
            part.outlierDetector().addReport(observer, report, nowNanos);
        }
        for (ProbeResult probe : probes) {
            part.outlierDetector().addProbeResult(new ServerId(probe.getServer()), probe.getHealthy(), nowNanos);
        }
        if (!owners.isSelf(observer) && part.leaving().markReported(leaving, nowNanos)) {
            HealthService service = services.get(report.service());
            publisher.updateServers(service, part, nowNanos);
            sendVerdicts(part, List.of(), Set.of(), nowNanos);
        }
    }

    /** Decides on the verdicts of a part that this daemon owns, and sends them if they are due. */
    void detectOutliers(HealthService service, HealthPart part, boolean secondElapsed, long nowNanos) {
        DetectionResult result = part.outlierDetector().tick(nowNanos);
        for (HealthAction action : result.actions()) {
            if (action instanceof HealthAction.ChangeObserver change) {
                healthChanges.recordObserver(part.id(), change.observer(), change.ignored());
            }
        }
        boolean leavingDue = secondElapsed && !part.leaving().announceable().isEmpty();
        if (!result.verdicts().isEmpty() || !result.outliers().isEmpty() || leavingDue) {
            sendVerdicts(part, result.verdicts(), result.outliers(), nowNanos);
        }
    }

    /** Sends verdicts and the draining servers to every affected daemon, and applies the verdicts to this daemon. */
    private void sendVerdicts(HealthPart part, List<Verdict> verdicts, Set<IncarnationId> outliers, long nowNanos) {
        ServiceId service = part.id().service();
        Set<ServerId> leaving = part.leaving().announceable();
        var message = HealthCodec.encode(new VerdictList(service, part.id().part(), verdicts, false)).toBuilder();
        leaving.forEach(server -> message.addLeaving(server.value()));
        var outlierMessage = message.clone().setReceiverIsOutlier(true);
        for (IncarnationId peer : owners.peers()) {
            boolean isOutlier = outliers.contains(peer);
            if (!verdicts.isEmpty() || !leaving.isEmpty() || isOutlier) {
                sender.send(peer, Frame.newBuilder().setVerdicts(isOutlier ? outlierMessage : message));
            }
        }
        IncarnationId self = members.self().incarnation();
        handleVerdicts(
                self,
                new VerdictList(service, part.id().part(), verdicts, outliers.contains(self)),
                List.of(),
                nowNanos);
    }

    /** Applies the verdicts of the owner of a part. */
    void handleVerdicts(IncarnationId owner, VerdictList verdicts, List<ServerId> leaving, long nowNanos) {
        HealthPart part = findPart(verdicts.service(), verdicts.part());
        if (part == null) {
            strayMessages.increment();
            return;
        }
        HealthService service = services.get(verdicts.service());
        publisher.carryOut(service, part, part.health().apply(owner, verdicts, nowNanos), nowNanos);
        for (Verdict verdict : verdicts.verdicts()) {
            long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(verdict.validMillis());
            service.withheldDeadlines()
                    .computeIfPresent(
                            verdict.server(),
                            (server, previous) -> verdict.sharePercent() == 100 ? null : deadlineNanos);
        }
        if (part.leaving().markAnnounced(leaving, nowNanos)) {
            publisher.updateServers(service, part, nowNanos);
        }
    }

    private HealthPart findPart(ServiceId id, int part) {
        HealthService service = services.get(id);
        return service == null || part < 0 || part >= service.parts().size()
                ? null
                : service.parts().get(part);
    }
}
