package org.heatherreach.coordination.slot;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Example;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

import static org.assertj.core.api.Assertions.assertThat;

class RankCapsTest {
    private static final ServiceId SERVICE = new ServiceId("benchdesk");
    private static final ZoneId ZONE = new ZoneId("z1");
    private static final IncarnationId BUSY = new IncarnationId(1);
    private static final IncarnationId QUIET = new IncarnationId(2);

    // Guards against a slot that stays idle while requests are queued, because the division by arrival rates reserves
    // it for the daemon with the most arrivals, which does not need it.
    @Example
    void slotsThatTheBusiestDaemonDoesNotNeedGoToOthers() {
        SlotLedger ledger = new SlotLedger(new ServiceLimits(SERVICE, 50, 2, 100, 10), equalRanks(), 0, 0);
        ledger.onMembers(Map.of(BUSY, ZONE, QUIET, ZONE), 0);
        ledger.onServers(
                List.of(
                        new SlotServer(new ServerId("a"), ZONE, 100),
                        new SlotServer(new ServerId("b"), ZONE, 100),
                        new SlotServer(new ServerId("c"), ZONE, 100)),
                0);
        Map<IncarnationId, Integer> caps = new HashMap<>();
        long nowNanos = SlotLedger.LEASE_DURATION_NANOS;
        for (int round = 1; round <= 8; round++) {
            collect(caps, ledger.onReport(BUSY, report(round, 4, 0, 100), nowNanos));
            collect(caps, ledger.onReport(QUIET, report(round, 0, 4, 0.2), nowNanos));
            nowNanos += LeasedSlotPool.REPORT_INTERVAL_NANOS;
            collect(caps, ledger.tick(nowNanos));
        }
        assertThat(caps).containsEntry(BUSY, 4).containsEntry(QUIET, 2);
    }

    // Guards against a request that waits for the owner although a slot is idle, because the cap of a rank that is not
    // limited is only the mean share of its daemon.
    @Example
    void unlimitedRankMayUseAllFreeSlotsAtOneDaemon() {
        SlotLedger ledger = new SlotLedger(new ServiceLimits(SERVICE, 50, 6, 100, 10), equalRanks(), 0, 0);
        Map<IncarnationId, ZoneId> members = new HashMap<>();
        for (int daemon = 1; daemon <= 6; daemon++) {
            members.put(new IncarnationId(daemon), ZONE);
        }
        ledger.onMembers(members, 0);
        ledger.onServers(
                List.of(new SlotServer(new ServerId("a"), ZONE, 100), new SlotServer(new ServerId("b"), ZONE, 100)), 0);
        Map<IncarnationId, Integer> caps = new HashMap<>();
        long nowNanos = SlotLedger.LEASE_DURATION_NANOS;
        for (IncarnationId daemon : members.keySet()) {
            collect(caps, ledger.onReport(daemon, report(1, 1, 0, 10), nowNanos));
        }
        collect(caps, ledger.tick(nowNanos + LeasedSlotPool.REPORT_INTERVAL_NANOS));
        // Six of the twelve slots are in use, so each daemon may run one request plus the six free slots.
        assertThat(caps.values()).hasSize(6).allMatch(cap -> cap == 7);
    }

    private static Map<Rank, RankLimits> equalRanks() {
        Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
        for (Rank rank : Rank.values()) {
            ranks.put(rank, new RankLimits(rank, 1, 20, 100, 1000));
        }
        return ranks;
    }

    private static SlotReport report(int number, int running, int queued, double rate) {
        return new SlotReport(
                SERVICE, 0, List.of(), List.of(new RankDemand(Rank.STANDARD, queued, running, rate)), number, 0);
    }

    private static void collect(Map<IncarnationId, Integer> caps, List<LedgerAction> actions) {
        for (LedgerAction action : actions) {
            if (action instanceof LedgerAction.SendGrant send) {
                caps.put(send.daemon(), send.grant().rankCaps().get(Rank.STANDARD.ordinal()));
            }
        }
    }
}
