package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Leases the slots of one service part to daemons. Runs at the daemon that owns the part.
 *
 * <p>For each daemon and server the ledger keeps the granted count and an upper bound: the largest number of slots
 * that the daemon may be using, given that messages can be delayed, repeated or lost. {@link LeaseAccounts} keeps the
 * counts, {@link IdleTargets} and {@link IdleRecall} decide about idle slots, {@link LedgerMessages} makes the messages.
 *
 * <p>Invariants: a grant never raises the sum of the upper bounds of a server above its usable slots; a report that
 * arrives out of order changes nothing; the leases of a daemon that stops reporting end. Confined to one thread.
 */
public final class SlotLedger {
    /**
     * How long a report renews the leases for. The daemon counts from the time at which it sent the report, the ledger
     * from the time at which it received the report.
     */
    public static final long LEASE_DURATION_NANOS = 2_000_000_000L;

    /** Reports at the regular interval are always answered to renew the leases; others only if something changed. */
    private static final long MIN_RENEWAL_GAP_NANOS = LeasedSlotPool.REPORT_INTERVAL_NANOS / 2;

    /** A new ledger leases nothing for this time, so that daemons can report what former owners leased to them. */
    private static final long REBUILD_PERIOD_NANOS = LeasedSlotPool.REPORT_INTERVAL_NANOS;

    private static final long REBALANCE_INTERVAL_NANOS = LeasedSlotPool.REPORT_INTERVAL_NANOS;

    /** A rank or daemon has recent arrivals while its arrival rate is above this value. */
    static final double MIN_RECENT_RATE_PER_SECOND = 0.01;

    private final long leasingStartNanos;
    private final Map<ServerId, LedgerServer> servers = new LinkedHashMap<>();
    private final Map<IncarnationId, LedgerDaemon> daemons = new LinkedHashMap<>();
    private final Map<IncarnationId, ZoneId> members = new HashMap<>();

    private final RankCaps caps;
    private final LeaseAccounts accounts = new LeaseAccounts();
    private final UnmetNeeds unmetNeeds = new UnmetNeeds();
    private final LedgerMessages messages;
    private final IdleRecall recall;
    private ServiceLimits limits;
    private Map<IncarnationId, Set<ServerId>> subsets = Map.of();
    private List<LedgerServer> usableServers = List.of();
    private long lastRebalanceNanos;

    /**
     * Creates a ledger without servers. It leases nothing new until daemons have had time to report their holdings.
     */
    public SlotLedger(ServiceLimits limits, Map<Rank, RankLimits> rankLimits, int part, long nowNanos) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.caps = new RankCaps(daemons.values(), rankLimits, nowNanos);
        this.messages = new LedgerMessages(limits.service(), part);
        this.recall = new IdleRecall(daemons.values(), accounts, messages);
        leasingStartNanos = nowNanos + REBUILD_PERIOD_NANOS;
        lastRebalanceNanos = nowNanos;
    }

    /** Sets the servers of the part. Leases of servers that are no longer listed or usable are recalled. */
    public List<LedgerAction> onServers(List<SlotServer> listed, long nowNanos) {
        servers.values().forEach(server -> server.listed = null);
        for (SlotServer entry : listed) {
            servers.computeIfAbsent(entry.server(), LedgerServer::new).listed = entry;
        }
        return updateServersAndSubsets(nowNanos);
    }

    /** Sets the limits of the service and its ranks from the configuration table. */
    public List<LedgerAction> onLimits(ServiceLimits newLimits, Map<Rank, RankLimits> newRankLimits, long nowNanos) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        caps.setLimits(newRankLimits);
        return updateServersAndSubsets(nowNanos);
    }

    /** Sets the live daemons of the region with their zones. A removed daemon keeps its leases until they expire. */
    public List<LedgerAction> onMembers(Map<IncarnationId, ZoneId> live, long nowNanos) {
        members.clear();
        members.putAll(live);
        daemons.values().forEach(daemon -> daemon.zone = members.get(daemon.id));
        return updateServersAndSubsets(nowNanos);
    }

    private List<LedgerAction> updateServersAndSubsets(long nowNanos) {
        int totalSlots = 0;
        usableServers = new ArrayList<>();
        List<ServerId> ids = new ArrayList<>();
        for (LedgerServer server : servers.values()) {
            server.usableSlots = server.listed == null ? 0 : server.listed.usableSlots(limits.slots());
            totalSlots += server.usableSlots;
            if (server.usableSlots > 0) {
                usableServers.add(server);
            }
            if (server.listed != null) {
                ids.add(server.id);
            }
        }
        accounts.setTotalSlots(totalSlots);
        subsets = members.size() * limits.slots() <= limits.connections()
                ? Map.of()
                : ServerSubsets.assign(ids, members.keySet(), limits);
        for (LedgerDaemon daemon : daemons.values()) {
            setCandidateServers(daemon);
            for (LedgerLease lease : daemon.leases.values()) {
                int keptSlots = daemon.mayUse(lease.server)
                        ? Math.max(0, Math.min(lease.granted, lease.granted + lease.server.freeSlots()))
                        : 0;
                if (keptSlots < lease.granted) {
                    accounts.setGranted(daemon, lease, keptSlots);
                }
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.maxInUse == 0);
        List<LedgerAction> actions = new ArrayList<>();
        for (LedgerDaemon daemon : daemons.values()) {
            messages.sendIfChanged(daemon, actions);
        }
        rebalance(nowNanos, actions);
        return actions;
    }

    /**
     * Applies a report. It is answered with a grant, which renews the leases, if something changed or the last renewal
     * is not recent. A report that arrives out of order is ignored.
     */
    public List<LedgerAction> onReport(IncarnationId daemonId, SlotReport report, long nowNanos) {
        List<LedgerAction> actions = new ArrayList<>(2);
        LedgerDaemon daemon = daemons.computeIfAbsent(daemonId, key -> createDaemon(key, nowNanos));
        if (report.number() <= daemon.reportNumber) {
            return actions;
        }
        daemon.reportNumber = report.number();
        daemon.expiryDeadlineNanos = nowNanos + LEASE_DURATION_NANOS;
        daemon.confirmedSequence = report.appliedSequence();
        // The daemon may have applied messages of an earlier ledger of this owner, whose sequences must be exceeded.
        daemon.sequence = Math.max(daemon.sequence, daemon.confirmedSequence);
        applyDemand(daemon, report);
        applyHoldings(daemon, report);
        if (caps.updateIfLimitsChange(accounts.totalSlots(), nowNanos)) {
            daemons.values().forEach(other -> messages.sendIfChanged(other, actions));
        }
        caps.raiseUnlimitedCaps(daemon);
        grantNeededSlots(daemon, nowNanos, actions);
        grantToUnderserved(daemon, nowNanos, actions);
        if (daemon.leasesChanged || daemon.capsChanged || nowNanos - daemon.lastRenewalNanos >= MIN_RENEWAL_GAP_NANOS) {
            daemon.lastRenewalNanos = nowNanos;
            actions.add(messages.createGrant(daemon, report.number()));
        }
        return actions;
    }

    private void setCandidateServers(LedgerDaemon daemon) {
        daemon.subset = subsets.get(daemon.id);
        if (daemon.subset == null) {
            daemon.candidateServers = usableServers;
            return;
        }
        daemon.candidateServers = new ArrayList<>();
        for (ServerId id : daemon.subset) {
            LedgerServer server = servers.get(id);
            if (server != null && server.usableSlots > 0) {
                daemon.candidateServers.add(server);
            }
        }
    }

    private LedgerDaemon createDaemon(IncarnationId daemonId, long nowNanos) {
        LedgerDaemon daemon = new LedgerDaemon(daemonId);
        daemon.zone = members.get(daemonId);
        daemon.lastRenewalNanos = nowNanos - MIN_RENEWAL_GAP_NANOS;
        setCandidateServers(daemon);
        Arrays.fill(daemon.caps, Integer.MAX_VALUE);
        recall.resetDonors();
        return daemon;
    }

    private void applyDemand(LedgerDaemon daemon, SlotReport report) {
        caps.addDemand(daemon, -1);
        for (RankDemand demand : report.demand()) {
            int rank = demand.rank().ordinal();
            daemon.queued[rank] = demand.queued();
            daemon.running[rank] = demand.running();
            daemon.arrivalsPerSecond[rank] = demand.arrivalsPerSecond();
        }
        caps.addDemand(daemon, 1);
    }

    private void applyHoldings(LedgerDaemon daemon, SlotReport report) {
        for (LedgerLease lease : daemon.leases.values()) {
            lease.reportedHeld = 0;
            lease.reportedInUse = 0;
        }
        for (SlotHolding holding : report.holdings()) {
            LedgerServer server = servers.computeIfAbsent(holding.server(), LedgerServer::new);
            LedgerLease lease = daemon.leases.computeIfAbsent(server.id, key -> new LedgerLease(server));
            lease.reportedHeld = holding.held();
            lease.reportedInUse = holding.inUse();
        }
        Iterator<LedgerLease> leases = daemon.leases.values().iterator();
        while (leases.hasNext()) {
            LedgerLease lease = leases.next();
            int used = Math.max(lease.reportedHeld, lease.reportedInUse);
            if (lease.changedSequence > daemon.confirmedSequence) {
                accounts.updateLease(daemon, lease, lease.granted, Math.max(lease.maxInUse, used), lease.reportedInUse);
                continue;
            }
            int granted = lease.granted;
            if (lease.reportedHeld < granted) {
                // The daemon has returned the slots, or its leases have expired.
                granted = lease.reportedHeld;
            } else if (lease.reportedHeld > granted) {
                // The slots were leased by a former owner.
                int free = lease.server.freeSlots() + lease.maxInUse;
                granted = daemon.mayUse(lease.server) ? Math.max(granted, Math.min(lease.reportedHeld, free)) : granted;
            }
            accounts.updateLease(daemon, lease, granted, Math.max(granted, used), lease.reportedInUse);
            if (granted != lease.reportedHeld) {
                lease.changedSequence = daemon.sequence + 1;
                daemon.leasesChanged = true;
            } else if (granted == 0 && lease.maxInUse == 0) {
                leases.remove();
            }
        }
    }

    /**
     * Rebalances the slots if due: drops the leases of daemons that stopped reporting, updates the caps, grants slots
     * to daemons that need them and recalls idle slots where other daemons lack them.
     */
    public List<LedgerAction> tick(long nowNanos) {
        List<LedgerAction> actions = new ArrayList<>();
        if (nowNanos - lastRebalanceNanos >= REBALANCE_INTERVAL_NANOS) {
            rebalance(nowNanos, actions);
        }
        return actions;
    }

    /** Returns the time at which {@link #tick} is due next. */
    public long nextDeadlineNanos() {
        return lastRebalanceNanos + REBALANCE_INTERVAL_NANOS;
    }

    /** Returns the upper bound on the slots of a server that daemons may be using, as far as this ledger knows. */
    public int maxInUseOf(ServerId server) {
        LedgerServer ledgerServer = servers.get(server);
        return ledgerServer == null ? 0 : ledgerServer.maxInUse;
    }

    /** Returns how many slots of a server are granted to a daemon. */
    public int grantedTo(IncarnationId daemonId, ServerId server) {
        LedgerDaemon daemon = daemons.get(daemonId);
        LedgerLease lease = daemon == null ? null : daemon.leases.get(server);
        return lease == null ? 0 : lease.granted;
    }

    private void rebalance(long nowNanos, List<LedgerAction> actions) {
        lastRebalanceNanos = nowNanos;
        dropExpiredDaemons(nowNanos);
        caps.updateLoads();
        caps.update(accounts.totalSlots(), nowNanos);
        IdleTargets.update(daemons.values(), caps, accounts.totalSlots());
        if (nowNanos - leasingStartNanos < 0) {
            return;
        }
        for (LedgerDaemon daemon : daemons.values()) {
            grantNeededSlots(daemon, nowNanos, actions);
        }
        recall.recallFromInactive();
        recall.spreadIdleSlots();
        for (LedgerDaemon daemon : daemons.values()) {
            messages.sendIfChanged(daemon, actions);
        }
    }

    private void dropExpiredDaemons(long nowNanos) {
        Iterator<LedgerDaemon> iterator = daemons.values().iterator();
        while (iterator.hasNext()) {
            LedgerDaemon daemon = iterator.next();
            if (daemon.expiryDeadlineNanos - nowNanos <= 0) {
                for (LedgerLease lease : daemon.leases.values()) {
                    accounts.updateLease(daemon, lease, 0, 0, 0);
                }
                caps.addDemand(daemon, -1);
                unmetNeeds.remove(daemon);
                recall.resetDonors();
                iterator.remove();
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.maxInUse == 0);
    }

    /**
     * Raises the leases of a daemon to the slots that it needs plus its idle target. If it still holds fewer than it
     * needs, idle slots of other daemons are recalled.
     */
    private void grantNeededSlots(LedgerDaemon daemon, long nowNanos, List<LedgerAction> actions) {
        if (nowNanos - leasingStartNanos < 0) {
            return;
        }
        int target = daemon.neededSlots() + daemon.idleTarget;
        while (daemon.heldSlots < target && accounts.grantOneSlot(daemon)) {
            continue;
        }
        if (daemon.heldSlots >= daemon.neededSlots()) {
            unmetNeeds.remove(daemon);
            return;
        }
        unmetNeeds.update(daemon);
        recall.recallForNeed(unmetNeeds.sum(), daemon, actions);
    }

    private void grantToUnderserved(LedgerDaemon reporter, long nowNanos, List<LedgerAction> actions) {
        if (unmetNeeds.isEmpty() || accounts.freeSlots() <= 0 || nowNanos - leasingStartNanos < 0) {
            return;
        }
        for (LedgerDaemon daemon : unmetNeeds.byUrgency()) {
            boolean raised = false;
            while (daemon.heldSlots < daemon.neededSlots() && accounts.grantOneSlot(daemon)) {
                raised = true;
            }
            if (daemon.heldSlots >= daemon.neededSlots()) {
                unmetNeeds.remove(daemon);
            }
            if (raised) {
                messages.sendIfChanged(daemon, actions);
            }
        }
    }
}
