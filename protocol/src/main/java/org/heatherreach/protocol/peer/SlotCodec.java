package org.heatherreach.protocol.peer;

import java.util.List;

import org.heatherreach.coordination.slot.RankDemand;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotHolding;
import org.heatherreach.coordination.slot.SlotLease;
import org.heatherreach.coordination.slot.SlotRecall;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;

/**
 * Converts slot messages to and from their wire form. Decoding fails with {@link MessageException}.
 * Stateless and safe for use by any thread.
 */
public final class SlotCodec {
    private static final Rank[] RANKS = Rank.values();

    private SlotCodec() {}

    /** Converts a report to its wire form. */
    public static org.heatherreach.protocol.peer.wire.SlotReport encode(SlotReport report) {
        var wire = org.heatherreach.protocol.peer.wire.SlotReport.newBuilder()
                .setService(report.service().value())
                .setPart(report.part())
                .setNumber(report.number())
                .setAppliedSequence(report.appliedSequence());
        for (SlotHolding holding : report.holdings()) {
            wire.addHoldings(org.heatherreach.protocol.peer.wire.SlotHolding.newBuilder()
                    .setServer(holding.server().value())
                    .setHeld(holding.held())
                    .setInUse(holding.inUse()));
        }
        for (RankDemand demand : report.demand()) {
            wire.addDemand(org.heatherreach.protocol.peer.wire.RankDemand.newBuilder()
                    .setRank(demand.rank().ordinal())
                    .setQueued(demand.queued())
                    .setRunning(demand.running())
                    .setArrivalsPerSecond(demand.arrivalsPerSecond()));
        }
        return wire.build();
    }

    /** Converts a report from its wire form. */
    public static SlotReport decode(org.heatherreach.protocol.peer.wire.SlotReport wire) {
        return MessageDecoding.decode(
                "SlotReport",
                () -> new SlotReport(
                        new ServiceId(wire.getService()),
                        wire.getPart(),
                        wire.getHoldingsList().stream()
                                .map(holding -> new SlotHolding(
                                        new ServerId(holding.getServer()), holding.getHeld(), holding.getInUse()))
                                .toList(),
                        wire.getDemandList().stream()
                                .map(demand -> new RankDemand(
                                        RANKS[demand.getRank()],
                                        demand.getQueued(),
                                        demand.getRunning(),
                                        demand.getArrivalsPerSecond()))
                                .toList(),
                        wire.getNumber(),
                        wire.getAppliedSequence()));
    }

    /** Converts a grant to its wire form. */
    public static org.heatherreach.protocol.peer.wire.SlotGrant encode(SlotGrant grant) {
        return org.heatherreach.protocol.peer.wire.SlotGrant.newBuilder()
                .setService(grant.service().value())
                .setPart(grant.part())
                .addAllLeases(encode(grant.leases()))
                .setValidMs(grant.validMillis())
                .setReportNumber(grant.reportNumber())
                .setSequence(grant.sequence())
                .addAllRankCaps(grant.rankCaps())
                .setIdleTarget(grant.idleTarget())
                .build();
    }

    /** Converts a grant from its wire form. */
    public static SlotGrant decode(org.heatherreach.protocol.peer.wire.SlotGrant wire) {
        return MessageDecoding.decode(
                "SlotGrant",
                () -> new SlotGrant(
                        new ServiceId(wire.getService()),
                        wire.getPart(),
                        decode(wire.getLeasesList()),
                        wire.getValidMs(),
                        wire.getReportNumber(),
                        wire.getSequence(),
                        wire.getRankCapsList(),
                        wire.getIdleTarget()));
    }

    /** Converts a recall to its wire form. */
    public static org.heatherreach.protocol.peer.wire.SlotRecall encode(SlotRecall recall) {
        return org.heatherreach.protocol.peer.wire.SlotRecall.newBuilder()
                .setService(recall.service().value())
                .setPart(recall.part())
                .addAllLeases(encode(recall.leases()))
                .setSequence(recall.sequence())
                .build();
    }

    /** Converts a recall from its wire form. */
    public static SlotRecall decode(org.heatherreach.protocol.peer.wire.SlotRecall wire) {
        return MessageDecoding.decode(
                "SlotRecall",
                () -> new SlotRecall(
                        new ServiceId(wire.getService()),
                        wire.getPart(),
                        decode(wire.getLeasesList()),
                        wire.getSequence()));
    }

    private static List<org.heatherreach.protocol.peer.wire.SlotLease> encode(List<SlotLease> leases) {
        return leases.stream()
                .map(lease -> org.heatherreach.protocol.peer.wire.SlotLease.newBuilder()
                        .setServer(lease.server().value())
                        .setCount(lease.count())
                        .build())
                .toList();
    }

    private static List<SlotLease> decode(List<org.heatherreach.protocol.peer.wire.SlotLease> leases) {
        return leases.stream()
                .map(lease -> new SlotLease(new ServerId(lease.getServer()), lease.getCount()))
                .toList();
    }
}
