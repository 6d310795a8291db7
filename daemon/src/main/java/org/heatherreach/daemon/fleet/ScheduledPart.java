package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.coordination.slot.LeasedSlotPool;
import org.heatherreach.coordination.slot.LedgerAction;
import org.heatherreach.coordination.slot.SlotAction;
import org.heatherreach.coordination.slot.SlotLedger;
import org.heatherreach.coordination.slot.SlotServer;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * The scheduling state of one service part: the pool of this daemon and, if this daemon owns the part, the ledger.
 * Passes on changed inputs only, because each input makes the pool and the ledger iterate over their servers.
 * Confined to the duty thread.
 */
final class ScheduledPart {
    private final PartId id;
    private final LeasedSlotPool pool;
    private SlotLedger ledger;
    private IncarnationId owner;
    private ServiceLimits limits;
    private Map<Rank, RankLimits> rankLimits;
    private List<SlotServer> poolServers = List.of();
    private ServiceLimits ledgerLimits;
    private Map<Rank, RankLimits> ledgerRankLimits;
    private List<SlotServer> ledgerServers = List.of();
    private Map<IncarnationId, ZoneId> ledgerMembers = Map.of();
    private int liveDaemons;
    private Set<ServerId> usableServers = Set.of();
    private int usableSlots;
    private long dueNanos;

    ScheduledPart(
            PartId id, LeasedSlotPool pool, ServiceLimits limits, Map<Rank, RankLimits> rankLimits, long nowNanos) {
        this.id = Objects.requireNonNull(id, "id");
        this.pool = Objects.requireNonNull(pool, "pool");
        this.limits = limits;
        this.rankLimits = rankLimits;
        this.dueNanos = nowNanos;
    }

    PartId id() {
        return id;
    }

    LeasedSlotPool pool() {
        return pool;
    }

    /** Returns the ledger, or null if another daemon owns the part. */
    SlotLedger ledger() {
        return ledger;
    }

    int usableSlots() {
        return usableSlots;
    }

    /** Returns whether every usable server was tried before. */
    boolean allTried(Set<ServerId> triedServers) {
        return triedServers.containsAll(usableServers);
    }

    List<SlotAction> updateLimits(ServiceLimits newLimits, Map<Rank, RankLimits> newRankLimits, long nowNanos) {
        if (newLimits.equals(limits) && newRankLimits.equals(rankLimits)) {
            return List.of();
        }
        limits = newLimits;
        rankLimits = newRankLimits;
        updateUsableServers();
        return pool.onLimits(newLimits, newRankLimits, nowNanos);
    }

    List<SlotAction> updateServers(List<SlotServer> servers, int newLiveDaemons, long nowNanos) {
        if (servers.equals(poolServers) && newLiveDaemons == liveDaemons) {
            return List.of();
        }
        poolServers = servers;
        liveDaemons = newLiveDaemons;
        updateUsableServers();
        return pool.onServers(servers, newLiveDaemons, nowNanos);
    }

    List<SlotAction> updateOwner(IncarnationId newOwner, long nowNanos) {
        if (newOwner.equals(owner)) {
            return List.of();
        }
        owner = newOwner;
        return pool.onOwner(newOwner, nowNanos);
    }

    /** Updates the ledger of an owned part, and creates it if necessary. */
    List<LedgerAction> updateLedger(List<SlotServer> servers, Map<IncarnationId, ZoneId> members, long nowNanos) {
        List<LedgerAction> actions = new ArrayList<>();
        boolean added = ledger == null;
        if (added) {
            ledger = new SlotLedger(limits, rankLimits, id.part(), nowNanos);
        } else if (!limits.equals(ledgerLimits) || !rankLimits.equals(ledgerRankLimits)) {
            actions.addAll(ledger.onLimits(limits, rankLimits, nowNanos));
        }
        ledgerLimits = limits;
        ledgerRankLimits = rankLimits;
        if (added || !members.equals(ledgerMembers)) {
            ledgerMembers = members;
            actions.addAll(ledger.onMembers(members, nowNanos));
        }
        if (added || !servers.equals(ledgerServers)) {
            ledgerServers = servers;
            actions.addAll(ledger.onServers(servers, nowNanos));
        }
        return actions;
    }

    void dropLedger() {
        ledger = null;
    }

    boolean isDue(long nowNanos) {
        return nowNanos - dueNanos >= 0;
    }

    /** Updates and returns the time of the next deadline of the pool or the ledger. */
    long updateDueNanos() {
        dueNanos = pool.nextDeadlineNanos();
        if (ledger != null && ledger.nextDeadlineNanos() - dueNanos < 0) {
            dueNanos = ledger.nextDeadlineNanos();
        }
        return dueNanos;
    }

    long dueNanos() {
        return dueNanos;
    }

    private void updateUsableServers() {
        Set<ServerId> next = new HashSet<>();
        usableSlots = 0;
        for (SlotServer server : poolServers) {
            if (server.sharePercent() > 0) {
                next.add(server.server());
                usableSlots += server.usableSlots(limits.slots());
            }
        }
        usableServers = next;
    }
}
