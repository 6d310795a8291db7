package org.heatherreach.protocol.peer;

import java.util.Optional;

import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.ServerEvidence;
import org.heatherreach.coordination.health.Verdict;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;

/**
 * Converts health messages to and from their wire form. Decoding fails with {@link MessageException}.
 * Stateless and safe for use by any thread.
 */
public final class HealthCodec {
    private HealthCodec() {}

    /** Converts a report to its wire form. */
    public static org.heatherreach.protocol.peer.wire.HealthReport encode(HealthReport report) {
        var wire = org.heatherreach.protocol.peer.wire.HealthReport.newBuilder()
                .setService(report.service().value())
                .setPart(report.part())
                .setZone(report.zone().value());
        for (ServerEvidence evidence : report.evidence()) {
            var server = org.heatherreach.protocol.peer.wire.ServerEvidence.newBuilder()
                    .setServer(evidence.server().value())
                    .setRequests(evidence.requests())
                    .setErrors(evidence.errors())
                    .setTruncated(evidence.truncated())
                    .setStalled(evidence.stalled())
                    .setConnectFailures(evidence.connectFailures());
            for (int count : evidence.latencyCounts()) {
                server.addLatencyCounts(count);
            }
            wire.addEvidence(server);
        }
        return wire.build();
    }

    /** Converts a report from its wire form. */
    public static HealthReport decode(org.heatherreach.protocol.peer.wire.HealthReport wire) {
        return MessageDecoding.decode(
                "HealthReport",
                () -> new HealthReport(
                        new ServiceId(wire.getService()),
                        wire.getPart(),
                        new ZoneId(wire.getZone()),
                        wire.getEvidenceList().stream().map(HealthCodec::decode).toList()));
    }

    private static ServerEvidence decode(org.heatherreach.protocol.peer.wire.ServerEvidence wire) {
        return new ServerEvidence(
                new ServerId(wire.getServer()),
                wire.getRequests(),
                wire.getErrors(),
                wire.getTruncated(),
                wire.getStalled(),
                wire.getConnectFailures(),
                wire.getLatencyCountsList().stream().mapToInt(Integer::intValue).toArray());
    }

    /** Converts verdicts to their wire form. */
    public static org.heatherreach.protocol.peer.wire.VerdictList encode(VerdictList verdicts) {
        var wire = org.heatherreach.protocol.peer.wire.VerdictList.newBuilder()
                .setService(verdicts.service().value())
                .setPart(verdicts.part())
                .setReceiverIsOutlier(verdicts.receiverIsOutlier());
        for (Verdict verdict : verdicts.verdicts()) {
            wire.addVerdicts(org.heatherreach.protocol.peer.wire.Verdict.newBuilder()
                    .setServer(verdict.server().value())
                    .setObserverZone(verdict.observerZone().map(ZoneId::value).orElse(""))
                    .setSharePercent(verdict.sharePercent())
                    .setValidMs(verdict.validMillis())
                    .setSeverity(verdict.severity())
                    .setEvidence(verdict.evidence()));
        }
        return wire.build();
    }

    /** Converts verdicts from their wire form. */
    public static VerdictList decode(org.heatherreach.protocol.peer.wire.VerdictList wire) {
        return MessageDecoding.decode(
                "VerdictList",
                () -> new VerdictList(
                        new ServiceId(wire.getService()),
                        wire.getPart(),
                        wire.getVerdictsList().stream().map(HealthCodec::decode).toList(),
                        wire.getReceiverIsOutlier()));
    }

    private static Verdict decode(org.heatherreach.protocol.peer.wire.Verdict wire) {
        Optional<ZoneId> zone =
                wire.getObserverZone().isEmpty() ? Optional.empty() : Optional.of(new ZoneId(wire.getObserverZone()));
        return new Verdict(
                new ServerId(wire.getServer()),
                zone,
                wire.getSharePercent(),
                wire.getValidMs(),
                wire.getSeverity(),
                wire.getEvidence());
    }
}
