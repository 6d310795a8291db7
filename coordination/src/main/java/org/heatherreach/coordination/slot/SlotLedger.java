package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
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
 * that the daemon may be using, given that messages can be delayed, repeated or lost. Invariant: a grant never raises
 * the sum of the upper bounds of a server above its usable slots. Confined to one thread.
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

    /** Bounds the daemons with idle slots that a recall chooses from; each search starts at a different daemon. */
    private static final int MAX_DONORS_CONSIDERED = 16;

    /** Bounds the daemons that a search for idle slots goes through. */
    private static final int MAX_DAEMONS_SCANNED = 64;

    /** A rank or daemon has recent arrivals while its arrival rate is above this value. */
    static final double MIN_RECENT_RATE_PER_SECOND = 0.01;

    /**
     * Percentage of the slots that is kept out of the idle targets, so that a queued request gets a free slot
     * within a round trip instead of after a recall.
     */
    private static final int RESERVE_PERCENT = 10;

    private static final Rank[] RANKS = Rank.values();

    private final int part;
    private final long leasingStartNanos;
    private final Map<ServerId, LedgerServer> servers = new LinkedHashMap<>();
    private final Map<IncarnationId, LedgerDaemon> daemons = new LinkedHashMap<>();
    private final Map<IncarnationId, ZoneId> members = new HashMap<>();

    /** The daemons that hold fewer slots than they need. */
    private final Set<LedgerDaemon> underservedDaemons = new LinkedHashSet<>();

    /** The daemons in the order in which idle slots are searched for; rebuilt after daemons were added or removed. */
    private final List<LedgerDaemon> donorOrder = new ArrayList<>();

    private ServiceLimits limits;
    private final RankCaps caps;
    private Map<IncarnationId, Set<ServerId>> subsets = Map.of();
    private List<LedgerServer> usableServers = List.of();
    private int totalSlots;

    /**
     * Slots that daemons may still be using although they are neither granted nor reported as in use, such as recalled
     * slots whose return is not confirmed yet.
     */
    private int returningSlots;

    /** Granted slots that are not reported as in use. */
    private int idleSlots;

    private int donorCursor;

    /** Sum of the upper bounds over all servers. */
    private int maxInUseSum;

    private int unmetNeedSum;
    private long lastRebalanceNanos;

    /**
     * Creates a ledger without servers. It leases nothing new until daemons have had time to report their holdings.
     */
    public SlotLedger(ServiceLimits limits, Map<Rank, RankLimits> rankLimits, int part, long nowNanos) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.caps = new RankCaps(daemons.values(), rankLimits, nowNanos);
        this.part = part;
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
        totalSlots = 0;
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
                    setGranted(daemon, lease, keptSlots);
                }
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.maxInUse == 0);
        List<LedgerAction> actions = new ArrayList<>();
        for (LedgerDaemon daemon : daemons.values()) {
            sendIfChanged(daemon, actions);
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
        if (caps.updateIfLimitsChange(totalSlots, nowNanos)) {
            daemons.values().forEach(other -> sendIfChanged(other, actions));
        }
        caps.raiseUnlimitedCaps(daemon);
        grantNeededSlots(daemon, nowNanos, actions);
        grantToUnderserved(daemon, nowNanos, actions);
        if (daemon.leasesChanged || daemon.capsChanged || nowNanos - daemon.lastRenewalNanos >= MIN_RENEWAL_GAP_NANOS) {
            daemon.lastRenewalNanos = nowNanos;
            actions.add(createGrant(daemon, report.number()));
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
        donorOrder.clear();
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
                updateLease(daemon, lease, lease.granted, Math.max(lease.maxInUse, used), lease.reportedInUse);
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
            updateLease(daemon, lease, granted, Math.max(granted, used), lease.reportedInUse);
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
        caps.update(totalSlots, nowNanos);
        setIdleTargets();
        if (nowNanos - leasingStartNanos < 0) {
            return;
        }
        for (LedgerDaemon daemon : daemons.values()) {
            grantNeededSlots(daemon, nowNanos, actions);
        }
        recallFromInactive();
        spreadIdleSlots();
        for (LedgerDaemon daemon : daemons.values()) {
            sendIfChanged(daemon, actions);
        }
    }

    private void dropExpiredDaemons(long nowNanos) {
        Iterator<LedgerDaemon> iterator = daemons.values().iterator();
        while (iterator.hasNext()) {
            LedgerDaemon daemon = iterator.next();
            if (daemon.expiryDeadlineNanos - nowNanos <= 0) {
                for (LedgerLease lease : daemon.leases.values()) {
                    updateLease(daemon, lease, 0, 0, 0);
                }
                caps.addDemand(daemon, -1);
                removeUnderserved(daemon);
                donorOrder.clear();
                iterator.remove();
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.maxInUse == 0);
    }

    /** Sets the idle targets: one slot for each active daemon if there are enough, and the rest by arrival rates. */
    private void setIdleTargets() {
        List<LedgerDaemon> active = new ArrayList<>();
        double weightSum = 0;
        int spare = totalSlots;
        for (LedgerDaemon daemon : daemons.values()) {
            daemon.weight = 0;
            for (int rank = 0; rank < RANKS.length; rank++) {
                // A rank at its limit can't use an idle slot.
                daemon.weight += caps.isLimited(rank) ? 0 : daemon.arrivalsPerSecond[rank];
            }
            daemon.idleTarget = 0;
            spare -= daemon.neededSlots();
            if (daemon.weight > MIN_RECENT_RATE_PER_SECOND) {
                active.add(daemon);
                weightSum += daemon.weight;
            }
        }
        spare -= totalSlots * RESERVE_PERCENT / 100;
        if (spare <= 0 || active.isEmpty()) {
            return;
        }
        int rest = spare - active.size();
        if (rest >= 0) {
            for (LedgerDaemon daemon : active) {
                daemon.idleTarget = 1 + (int) (rest * daemon.weight / weightSum);
            }
            return;
        }
        // The factor lets a daemon keep its idle slot unless another has clearly more arrivals.
        active.sort(Comparator.comparingDouble(
                (LedgerDaemon daemon) -> -daemon.weight * (daemon.heldSlots > daemon.neededSlots() ? 1.25 : 1)));
        for (LedgerDaemon daemon : active.subList(0, spare)) {
            daemon.idleTarget = 1;
        }
    }

    private void recallFromInactive() {
        for (LedgerDaemon daemon : daemons.values()) {
            double rate = 0;
            for (double rankRate : daemon.arrivalsPerSecond) {
                rate += rankRate;
            }
            if (rate <= MIN_RECENT_RATE_PER_SECOND) {
                for (LedgerLease lease : daemon.leases.values()) {
                    if (lease.granted > lease.inUse) {
                        setGranted(daemon, lease, lease.inUse);
                    }
                }
            }
        }
    }

    /** Recalls idle slots of daemons with the largest surplus, one for each daemon that lacks its first idle slot. */
    private void spreadIdleSlots() {
        int missing = -returningSlots;
        for (LedgerDaemon daemon : daemons.values()) {
            missing += daemon.idleTarget > 0 && daemon.heldSlots <= daemon.neededSlots() ? 1 : 0;
        }
        for (int i = 0; i < missing; i++) {
            LedgerDaemon donor = null;
            int largestSurplus = 0;
            for (LedgerDaemon daemon : daemons.values()) {
                int surplus = daemon.heldSlots - daemon.neededSlots() - Math.min(1, daemon.idleTarget);
                if (surplus > largestSurplus && daemon.mostIdleLease() != null) {
                    donor = daemon;
                    largestSurplus = surplus;
                }
            }
            if (donor == null) {
                return;
            }
            LedgerLease lease = donor.mostIdleLease();
            setGranted(donor, lease, lease.granted - 1);
        }
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
        while (daemon.heldSlots < target && grantOneSlot(daemon)) {
            continue;
        }
        if (daemon.heldSlots >= daemon.neededSlots()) {
            removeUnderserved(daemon);
            return;
        }
        underservedDaemons.add(daemon);
        unmetNeedSum += daemon.neededSlots() - daemon.heldSlots - daemon.unmetNeed;
        daemon.unmetNeed = daemon.neededSlots() - daemon.heldSlots;
        recallForUnderserved(daemon, actions);
    }

    private void removeUnderserved(LedgerDaemon daemon) {
        if (underservedDaemons.remove(daemon)) {
            unmetNeedSum -= daemon.unmetNeed;
            daemon.unmetNeed = 0;
        }
    }

    /**
     * Recalls idle slots for the unmet need of all daemons, one at a time from a daemon with a large surplus. The
     * message to the reporting daemon is left to the caller.
     */
    private void recallForUnderserved(LedgerDaemon reporter, List<LedgerAction> actions) {
        int missing = unmetNeedSum - returningSlots;
        while (missing > 0 && idleSlots > 0) {
            LedgerDaemon donor = chooseDonor();
            if (donor == null) {
                return;
            }
            LedgerLease lease = donor.mostIdleLease();
            setGranted(donor, lease, lease.granted - 1);
            if (donor != reporter) {
                sendIfChanged(donor, actions);
            }
            missing--;
        }
    }

    private LedgerDaemon chooseDonor() {
        if (donorOrder.size() != daemons.size()) {
            donorOrder.clear();
            donorOrder.addAll(daemons.values());
        }
        LedgerDaemon best = null;
        int largestSurplus = 0;
        int considered = 0;
        int scanned = Math.min(donorOrder.size(), MAX_DAEMONS_SCANNED);
        for (int i = 0; i < scanned && considered < MAX_DONORS_CONSIDERED; i++) {
            LedgerDaemon daemon = donorOrder.get((donorCursor + i) % donorOrder.size());
            int surplus = daemon.heldSlots - daemon.neededSlots();
            if (surplus > 0 && daemon.mostIdleLease() != null) {
                considered++;
                if (surplus > largestSurplus) {
                    best = daemon;
                    largestSurplus = surplus;
                }
            }
        }
        donorCursor = (donorCursor + (best == null ? scanned : 1)) % donorOrder.size();
        return best;
    }

    private int freeSlots() {
        return totalSlots - maxInUseSum;
    }

    private void grantToUnderserved(LedgerDaemon reporter, long nowNanos, List<LedgerAction> actions) {
        if (underservedDaemons.isEmpty() || freeSlots() <= 0 || nowNanos - leasingStartNanos < 0) {
            return;
        }
        List<LedgerDaemon> waiting = new ArrayList<>(underservedDaemons);
        waiting.sort(Comparator.comparingInt(LedgerDaemon::mostUrgentWaitingRank));
        for (LedgerDaemon daemon : waiting) {
            boolean raised = false;
            while (daemon.heldSlots < daemon.neededSlots() && grantOneSlot(daemon)) {
                raised = true;
            }
            if (daemon.heldSlots >= daemon.neededSlots()) {
                removeUnderserved(daemon);
            }
            if (raised) {
                sendIfChanged(daemon, actions);
            }
        }
    }

    /**
     * Grants one more slot to a daemon: one that it may already be using, else a free one, preferably in its
     * availability zone. Returns whether there was such a slot.
     */
    private boolean grantOneSlot(LedgerDaemon daemon) {
        for (LedgerLease lease : daemon.leases.values()) {
            // If daemons may be using more slots than the server has, as after leases expired, requests must end
            // first.
            if (lease.granted < lease.maxInUse
                    && lease.server.freeSlots() >= 0
                    && lease.granted < lease.server.usableSlots
                    && daemon.mayUse(lease.server)
                    && lease.granted >= lease.inUse) {
                setGranted(daemon, lease, lease.granted + 1);
                return true;
            }
        }
        if (freeSlots() <= 0) {
            return false;
        }
        LedgerServer best = null;
        boolean bestInZone = false;
        for (LedgerServer server : daemon.candidateServers) {
            if (server.freeSlots() <= 0) {
                continue;
            }
            boolean inZone = server.listed.zone().equals(daemon.zone);
            if (best == null
                    || inZone && !bestInZone
                    || inZone == bestInZone && server.freeSlots() > best.freeSlots()) {
                best = server;
                bestInZone = inZone;
            }
        }
        if (best == null) {
            return false;
        }
        LedgerServer chosen = best;
        LedgerLease lease = daemon.leases.computeIfAbsent(best.id, key -> new LedgerLease(chosen));
        setGranted(daemon, lease, lease.granted + 1);
        return true;
    }

    private void setGranted(LedgerDaemon daemon, LedgerLease lease, int granted) {
        updateLease(daemon, lease, granted, Math.max(lease.maxInUse, granted), lease.inUse);
        lease.changedSequence = daemon.sequence + 1;
        daemon.leasesChanged = true;
    }

    private void updateLease(LedgerDaemon daemon, LedgerLease lease, int granted, int maxInUse, int inUse) {
        idleSlots += Math.max(0, granted - inUse) - Math.max(0, lease.granted - lease.inUse);
        int before = Math.max(lease.granted, lease.inUse);
        int after = Math.max(granted, inUse);
        returningSlots += maxInUse - after - (lease.maxInUse - before);
        daemon.heldSlots += after - before;
        lease.server.maxInUse += maxInUse - lease.maxInUse;
        maxInUseSum += maxInUse - lease.maxInUse;
        lease.granted = granted;
        lease.maxInUse = maxInUse;
        lease.inUse = inUse;
    }

    private void sendIfChanged(LedgerDaemon daemon, List<LedgerAction> actions) {
        if (!daemon.leasesChanged && !daemon.capsChanged) {
            return;
        }
        boolean onlyLowered = !daemon.capsChanged;
        for (LedgerLease lease : daemon.leases.values()) {
            onlyLowered &= lease.changedSequence <= daemon.confirmedSequence || lease.granted <= lease.reportedHeld;
        }
        if (onlyLowered) {
            advanceSequence(daemon);
            actions.add(new LedgerAction.SendRecall(
                    daemon.id, new SlotRecall(limits.service(), part, unconfirmedLeases(daemon), daemon.sequence)));
        } else {
            actions.add(createGrant(daemon, 0));
        }
    }

    private LedgerAction createGrant(LedgerDaemon daemon, long reportNumber) {
        advanceSequence(daemon);
        List<Integer> capsByRank = new ArrayList<>(RANKS.length);
        for (int cap : daemon.caps) {
            capsByRank.add(cap);
        }
        int validMillis = (int) (LEASE_DURATION_NANOS / 1_000_000);
        return new LedgerAction.SendGrant(
                daemon.id,
                new SlotGrant(
                        limits.service(),
                        part,
                        unconfirmedLeases(daemon),
                        validMillis,
                        reportNumber,
                        daemon.sequence,
                        capsByRank,
                        daemon.idleTarget));
    }

    private static void advanceSequence(LedgerDaemon daemon) {
        if (daemon.leasesChanged || daemon.capsChanged) {
            daemon.sequence++;
            daemon.leasesChanged = false;
            daemon.capsChanged = false;
        }
    }

    private static List<SlotLease> unconfirmedLeases(LedgerDaemon daemon) {
        List<SlotLease> unconfirmed = new ArrayList<>();
        for (LedgerLease lease : daemon.leases.values()) {
            if (lease.changedSequence > daemon.confirmedSequence) {
                // The daemon may return the slot and then apply this message, so the upper bound must be kept until
                // the daemon confirms this message too.
                lease.changedSequence = daemon.sequence;
                unconfirmed.add(new SlotLease(lease.server.id, lease.granted));
            }
        }
        return unconfirmed;
    }
}
