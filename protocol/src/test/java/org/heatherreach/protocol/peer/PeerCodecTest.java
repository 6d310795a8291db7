package org.heatherreach.protocol.peer;

import java.util.List;
import java.util.Optional;

import net.jqwik.api.Example;
import org.heatherreach.coordination.crash.CrashReport;
import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.crash.Suspect;
import org.heatherreach.coordination.crash.SuspectUpdate;
import org.heatherreach.coordination.health.HealthReport;
import org.heatherreach.coordination.health.LatencyBuckets;
import org.heatherreach.coordination.health.ServerEvidence;
import org.heatherreach.coordination.health.Verdict;
import org.heatherreach.coordination.health.VerdictList;
import org.heatherreach.coordination.slot.RankDemand;
import org.heatherreach.coordination.slot.SlotGrant;
import org.heatherreach.coordination.slot.SlotHolding;
import org.heatherreach.coordination.slot.SlotLease;
import org.heatherreach.coordination.slot.SlotRecall;
import org.heatherreach.coordination.slot.SlotReport;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

// The round trips guard against fields that are lost or swapped on the wire, so every field of a sample has its own
// value.
class PeerCodecTest {
    private static final ServiceId SERVICE = new ServiceId("certdesk");
    private static final ServerId SERVER = new ServerId("c-1");

    @Example
    void slotMessagesRoundTrip() {
        SlotReport report = new SlotReport(
                SERVICE,
                3,
                List.of(new SlotHolding(SERVER, 2, 1)),
                List.of(new RankDemand(Rank.BULK, 5, 6, 7.5)),
                8,
                9);
        SlotGrant grant =
                new SlotGrant(SERVICE, 3, List.of(new SlotLease(SERVER, 2)), 2000, 8, 10, List.of(4, 5, 6), 7);
        SlotRecall recall = new SlotRecall(SERVICE, 3, List.of(new SlotLease(SERVER, 0)), 11);
        assertThat(SlotCodec.decode(SlotCodec.encode(report))).isEqualTo(report);
        assertThat(SlotCodec.decode(SlotCodec.encode(grant))).isEqualTo(grant);
        assertThat(SlotCodec.decode(SlotCodec.encode(recall))).isEqualTo(recall);
    }

    @Example
    void healthMessagesRoundTrip() {
        int[] latencyCounts = new int[LatencyBuckets.COUNT];
        latencyCounts[2] = 4;
        HealthReport report = new HealthReport(
                SERVICE, 1, new ZoneId("z2"), List.of(new ServerEvidence(SERVER, 9, 1, 2, 3, 4, latencyCounts)));
        VerdictList verdicts = new VerdictList(
                SERVICE,
                1,
                List.of(
                        new Verdict(SERVER, Optional.of(new ZoneId("z2")), 10, 3000, 40, "slow"),
                        new Verdict(SERVER, Optional.empty(), 0, 3001, 41, "errors")),
                true);
        assertThat(HealthCodec.decode(HealthCodec.encode(report))).isEqualTo(report);
        assertThat(HealthCodec.decode(HealthCodec.encode(verdicts))).isEqualTo(verdicts);
    }

    @Example
    void crashMessagesRoundTrip() {
        CrashReport report = new CrashReport(SERVICE, SERVER, List.of(new Fingerprint(-5)));
        SuspectUpdate update =
                new SuspectUpdate(SERVICE, List.of(new Suspect(new Fingerprint(-5), 2, true, 900_000, -7)));
        assertThat(CrashCodec.decode(CrashCodec.encode(report))).isEqualTo(report);
        assertThat(CrashCodec.decode(CrashCodec.encode(update))).isEqualTo(update);
    }

    // Guards against a message that is accepted without a service or with a rank that does not exist.
    @Example
    void rejectsMalformedMessages() {
        var missingService = org.heatherreach.protocol.peer.wire.SlotReport.getDefaultInstance();
        var unknownRank = SlotCodec.encode(new SlotReport(SERVICE, 0, List.of(), List.of(), 1, 0)).toBuilder()
                .addDemand(org.heatherreach.protocol.peer.wire.RankDemand.newBuilder()
                        .setRank(9))
                .build();
        assertThatThrownBy(() -> SlotCodec.decode(missingService)).isInstanceOf(MessageException.class);
        assertThatThrownBy(() -> SlotCodec.decode(unknownRank)).isInstanceOf(MessageException.class);
    }
}
