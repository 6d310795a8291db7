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
 * Leases the slots of one service part to daemons, at the daemon that owns the part.
 *
 * <p>For each daemon and server the ledger keeps the granted count and a bound: the largest number of slots that the
 * daemon may be using, given that messages are delayed, repeated or lost. Invariant: a grant never raises the sum of the
 * bounds of a server above its usable slots. Confined to one thread.
 */
public final class SlotLedger {
    /** How long a lease is valid without a renewing report. */
    public static final long LEASE_NANOS = 2_000_000_000L;

    /** Reports at the regular interval are always answered; those in between only if something changed. */
    private static final long RENEW_NANOS = LeasedSlotPool.REPORT_NANOS / 2;

    private static final long REBUILD_NANOS = LeasedSlotPool.REPORT_NANOS;
    private static final long REBALANCE_NANOS = LeasedSlotPool.REPORT_NANOS;

    /** Bounds the search for a daemon with idle slots; the search starts at another daemon each time. */
    private static final int DONORS_CONSIDERED = 16;

    private static final int VIEWS_SCANNED = 64;

    /** Below this rate a rank or daemon has no recent arrivals. */
    static final double ACTIVE_RATE = 0.01;

    /** Idle slots that stay with the owner, so that a queue gets one within a round trip instead of after a recall. */
    private static final int RESERVE_PERCENT = 10;

    private static final Rank[] RANKS = Rank.values();

    private final int part;
    private final long leaseFromNanos;
    private final Map<ServerId, LedgerServer> servers = new LinkedHashMap<>();
    private final Map<IncarnationId, LedgerView> views = new LinkedHashMap<>();
    private final Map<IncarnationId, ZoneId> members = new HashMap<>();
    private final Set<LedgerView> unmetViews = new LinkedHashSet<>();
    private final List<LedgerView> donorOrder = new ArrayList<>();

    private ServiceLimits limits;
    private final RankCaps caps;
    private Map<IncarnationId, Set<ServerId>> subsets = Map.of();
    private List<LedgerServer> usable = List.of();
    private int totalSlots;
    private int returning;
    private int idle;
    private int donorCursor;
    private int boundSum;
    private int unmetSum;
    private long lastRebalanceNanos;

    /** Creates a ledger that knows no server. It leases nothing new until daemons had time to report their holdings. */
    public SlotLedger(ServiceLimits limits, Map<Rank, RankLimits> rankLimits, int part, long nowNanos) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.caps = new RankCaps(views.values(), rankLimits, nowNanos);
        this.part = part;
        leaseFromNanos = nowNanos + REBUILD_NANOS;
        lastRebalanceNanos = nowNanos;
    }

    /** Sets the servers of the part. Leases of servers that are gone or out of use are recalled. */
    public List<LedgerAction> onServers(List<SlotServer> listed, long nowNanos) {
        servers.values().forEach(server -> server.listed = null);
        for (SlotServer entry : listed) {
            servers.computeIfAbsent(entry.server(), LedgerServer::new).listed = entry;
        }
        return onCapacityChange(nowNanos);
    }

    /** Sets the limits of the table. */
    public List<LedgerAction> onLimits(ServiceLimits newLimits, Map<Rank, RankLimits> newRankLimits, long nowNanos) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        caps.changeLimits(newRankLimits);
        return onCapacityChange(nowNanos);
    }

    /** Sets the live daemons of the region with their zones. A daemon that is gone keeps its leases until they expire. */
    public List<LedgerAction> onMembers(Map<IncarnationId, ZoneId> live, long nowNanos) {
        members.clear();
        members.putAll(live);
        views.values().forEach(view -> view.zone = members.get(view.daemon));
        return onCapacityChange(nowNanos);
    }

    private List<LedgerAction> onCapacityChange(long nowNanos) {
        totalSlots = 0;
        usable = new ArrayList<>();
        List<ServerId> ids = new ArrayList<>();
        for (LedgerServer server : servers.values()) {
            server.capacity = server.listed == null ? 0 : server.listed.usableSlots(limits.slots());
            totalSlots += server.capacity;
            if (server.capacity > 0) {
                usable.add(server);
            }
            if (server.listed != null) {
                ids.add(server.id);
            }
        }
        subsets = members.size() * limits.slots() <= limits.connections()
                ? Map.of()
                : ServerSubsets.assign(ids, members.keySet(), limits);
        for (LedgerView view : views.values()) {
            setCandidates(view);
            for (LedgerHold hold : view.holds.values()) {
                int allowed = view.mayUse(hold.server)
                        ? Math.max(0, Math.min(hold.granted, hold.granted + hold.server.free()))
                        : 0;
                if (allowed < hold.granted) {
                    grant(view, hold, allowed);
                }
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.bound == 0);
        List<LedgerAction> actions = new ArrayList<>();
        for (LedgerView view : views.values()) {
            sendIfChanged(view, actions);
        }
        rebalance(nowNanos, actions);
        return actions;
    }

    /**
     * Takes a report. It is answered with a grant, which renews the leases, if something changed or the last renewal is
     * not recent. A report out of order is ignored.
     */
    public List<LedgerAction> onReport(IncarnationId daemon, SlotReport report, long nowNanos) {
        List<LedgerAction> actions = new ArrayList<>(2);
        LedgerView view = views.computeIfAbsent(daemon, key -> createView(key, nowNanos));
        if (report.number() <= view.reportNumber) {
            return actions;
        }
        view.reportNumber = report.number();
        view.expiryDeadlineNanos = nowNanos + LEASE_NANOS;
        view.confirmed = report.appliedSequence();
        // The daemon has applied messages of an earlier ledger of this owner.
        view.sequence = Math.max(view.sequence, view.confirmed);
        takeDemand(view, report);
        takeHoldings(view, report);
        if (caps.updateIfLimitsChange(totalSlots, nowNanos)) {
            views.values().forEach(other -> sendIfChanged(other, actions));
        }
        caps.lift(view);
        meetNeed(view, nowNanos, actions);
        serveUnmet(view, nowNanos, actions);
        if (view.changed || view.capsChanged || nowNanos - view.renewedNanos >= RENEW_NANOS) {
            view.renewedNanos = nowNanos;
            actions.add(answer(view, report.number()));
        }
        return actions;
    }

    private void setCandidates(LedgerView view) {
        view.subset = subsets.get(view.daemon);
        if (view.subset == null) {
            view.candidates = usable;
            return;
        }
        view.candidates = new ArrayList<>();
        for (ServerId id : view.subset) {
            LedgerServer server = servers.get(id);
            if (server != null && server.capacity > 0) {
                view.candidates.add(server);
            }
        }
    }

    private LedgerView createView(IncarnationId daemon, long nowNanos) {
        LedgerView view = new LedgerView(daemon);
        view.zone = members.get(daemon);
        view.renewedNanos = nowNanos - RENEW_NANOS;
        setCandidates(view);
        Arrays.fill(view.caps, Integer.MAX_VALUE);
        donorOrder.clear();
        return view;
    }

    private void takeDemand(LedgerView view, SlotReport report) {
        caps.addDemand(view, -1);
        for (RankDemand demand : report.demand()) {
            int rank = demand.rank().ordinal();
            view.queued[rank] = demand.queued();
            view.running[rank] = demand.running();
            view.rates[rank] = demand.arrivalsPerSecond();
        }
        caps.addDemand(view, 1);
    }

    private void takeHoldings(LedgerView view, SlotReport report) {
        for (LedgerHold hold : view.holds.values()) {
            hold.reportedHeld = 0;
            hold.reportedInUse = 0;
        }
        for (SlotHolding holding : report.holdings()) {
            LedgerServer server = servers.computeIfAbsent(holding.server(), LedgerServer::new);
            LedgerHold hold = view.holds.computeIfAbsent(server.id, key -> new LedgerHold(server));
            hold.reportedHeld = holding.held();
            hold.reportedInUse = holding.inUse();
        }
        Iterator<LedgerHold> holds = view.holds.values().iterator();
        while (holds.hasNext()) {
            LedgerHold hold = holds.next();
            int used = Math.max(hold.reportedHeld, hold.reportedInUse);
            if (hold.changedSequence > view.confirmed) {
                set(view, hold, hold.granted, Math.max(hold.bound, used), hold.reportedInUse);
                continue;
            }
            int granted = hold.granted;
            if (hold.reportedHeld < granted) {
                // Returned, or expired at the daemon.
                granted = hold.reportedHeld;
            } else if (hold.reportedHeld > granted) {
                // Leased by another owner before this one.
                int free = hold.server.free() + hold.bound;
                granted = view.mayUse(hold.server) ? Math.max(granted, Math.min(hold.reportedHeld, free)) : granted;
            }
            set(view, hold, granted, Math.max(granted, used), hold.reportedInUse);
            if (granted != hold.reportedHeld) {
                hold.changedSequence = view.sequence + 1;
                view.changed = true;
            } else if (granted == 0 && hold.bound == 0) {
                holds.remove();
            }
        }
    }

    /** Renews all leases, recalls what is idle in the wrong place and drops the leases of silent daemons. */
    public List<LedgerAction> tick(long nowNanos) {
        List<LedgerAction> actions = new ArrayList<>();
        if (nowNanos - lastRebalanceNanos >= REBALANCE_NANOS) {
            rebalance(nowNanos, actions);
        }
        return actions;
    }

    /** Returns when {@link #tick} is due next. */
    public long nextDeadlineNanos() {
        return lastRebalanceNanos + REBALANCE_NANOS;
    }

    /** Returns how many slots of a server may be in use by daemons, as far as this ledger knows. */
    public int boundOf(ServerId server) {
        LedgerServer state = servers.get(server);
        return state == null ? 0 : state.bound;
    }

    /** Returns how many slots of a server are granted to a daemon. */
    public int grantedTo(IncarnationId daemon, ServerId server) {
        LedgerView view = views.get(daemon);
        LedgerHold hold = view == null ? null : view.holds.get(server);
        return hold == null ? 0 : hold.granted;
    }

    private void rebalance(long nowNanos, List<LedgerAction> actions) {
        lastRebalanceNanos = nowNanos;
        dropExpired(nowNanos);
        caps.noteLoads();
        caps.update(totalSlots, nowNanos);
        shareSpareSlots();
        if (nowNanos - leaseFromNanos < 0) {
            return;
        }
        for (LedgerView view : views.values()) {
            meetNeed(view, nowNanos, actions);
        }
        releaseInactive();
        spreadIdleSlots();
        for (LedgerView view : views.values()) {
            sendIfChanged(view, actions);
        }
    }

    private void dropExpired(long nowNanos) {
        Iterator<LedgerView> all = views.values().iterator();
        while (all.hasNext()) {
            LedgerView view = all.next();
            if (view.expiryDeadlineNanos - nowNanos <= 0) {
                for (LedgerHold hold : view.holds.values()) {
                    set(view, hold, 0, 0, 0);
                }
                caps.addDemand(view, -1);
                removeUnmet(view);
                donorOrder.clear();
                all.remove();
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.bound == 0);
    }

    /** Gives each active daemon one slot more than it needs where the total allows, and the rest by arrival rates. */
    private void shareSpareSlots() {
        List<LedgerView> active = new ArrayList<>();
        double weightSum = 0;
        int spare = totalSlots;
        for (LedgerView view : views.values()) {
            view.weight = 0;
            for (int rank = 0; rank < RANKS.length; rank++) {
                // A rank at its limit can't use an idle slot.
                view.weight += caps.isLimited(rank) ? 0 : view.rates[rank];
            }
            view.spare = 0;
            spare -= view.needed();
            if (view.weight > ACTIVE_RATE) {
                active.add(view);
                weightSum += view.weight;
            }
        }
        spare -= totalSlots * RESERVE_PERCENT / 100;
        if (spare <= 0 || active.isEmpty()) {
            return;
        }
        int rest = spare - active.size();
        if (rest >= 0) {
            for (LedgerView view : active) {
                view.spare = 1 + (int) (rest * view.weight / weightSum);
            }
            return;
        }
        // A daemon that has an idle slot already keeps it unless another has clearly more arrivals.
        active.sort(Comparator.comparingDouble(
                (LedgerView view) -> -view.weight * (view.holding > view.needed() ? 1.25 : 1)));
        for (LedgerView view : active.subList(0, spare)) {
            view.spare = 1;
        }
    }

    private void releaseInactive() {
        for (LedgerView view : views.values()) {
            double rate = 0;
            for (double rankRate : view.rates) {
                rate += rankRate;
            }
            if (rate <= ACTIVE_RATE) {
                for (LedgerHold hold : view.holds.values()) {
                    if (hold.granted > hold.inUse) {
                        grant(view, hold, hold.inUse);
                    }
                }
            }
        }
    }

    /** Moves idle slots from daemons with more than their spare to daemons without any. */
    private void spreadIdleSlots() {
        int missing = -returning;
        for (LedgerView view : views.values()) {
            missing += view.spare > 0 && view.holding <= view.needed() ? 1 : 0;
        }
        for (int i = 0; i < missing; i++) {
            LedgerView donor = null;
            int most = 0;
            for (LedgerView view : views.values()) {
                int surplus = view.holding - view.needed() - Math.min(1, view.spare);
                if (surplus > most && view.idleHold() != null) {
                    donor = view;
                    most = surplus;
                }
            }
            if (donor == null) {
                return;
            }
            LedgerHold hold = donor.idleHold();
            grant(donor, hold, hold.granted - 1);
        }
    }

    /** Raises the leases of a daemon to what it needs and its spare; recalls idle slots elsewhere for its queue. */
    private void meetNeed(LedgerView view, long nowNanos, List<LedgerAction> actions) {
        if (nowNanos - leaseFromNanos < 0) {
            return;
        }
        int target = view.needed() + view.spare;
        while (view.holding < target && raise(view)) {
            continue;
        }
        if (view.holding >= view.needed()) {
            removeUnmet(view);
            return;
        }
        unmetViews.add(view);
        unmetSum += view.needed() - view.holding - view.unmet;
        view.unmet = view.needed() - view.holding;
        recallForUnmet(view, actions);
    }

    private void removeUnmet(LedgerView view) {
        if (unmetViews.remove(view)) {
            unmetSum -= view.unmet;
            view.unmet = 0;
        }
    }

    private void recallForUnmet(LedgerView reporter, List<LedgerAction> actions) {
        int missing = unmetSum - returning;
        while (missing > 0 && idle > 0) {
            LedgerView donor = chooseDonor();
            if (donor == null) {
                return;
            }
            LedgerHold hold = donor.idleHold();
            grant(donor, hold, hold.granted - 1);
            if (donor != reporter) {
                sendIfChanged(donor, actions);
            }
            missing--;
        }
    }

    private LedgerView chooseDonor() {
        if (donorOrder.size() != views.size()) {
            donorOrder.clear();
            donorOrder.addAll(views.values());
        }
        LedgerView best = null;
        int most = 0;
        int considered = 0;
        int scanned = Math.min(donorOrder.size(), VIEWS_SCANNED);
        for (int i = 0; i < scanned && considered < DONORS_CONSIDERED; i++) {
            LedgerView view = donorOrder.get((donorCursor + i) % donorOrder.size());
            int surplus = view.holding - view.needed();
            if (surplus > 0 && view.idleHold() != null) {
                considered++;
                if (surplus > most) {
                    best = view;
                    most = surplus;
                }
            }
        }
        donorCursor = (donorCursor + (best == null ? scanned : 1)) % donorOrder.size();
        return best;
    }

    private int freeSlots() {
        return totalSlots - boundSum;
    }

    private void serveUnmet(LedgerView reporter, long nowNanos, List<LedgerAction> actions) {
        if (unmetViews.isEmpty() || freeSlots() <= 0 || nowNanos - leaseFromNanos < 0) {
            return;
        }
        List<LedgerView> waiting = new ArrayList<>(unmetViews);
        waiting.sort(Comparator.comparingInt(LedgerView::mostUrgentQueued));
        for (LedgerView view : waiting) {
            boolean raised = false;
            while (view.holding < view.needed() && raise(view)) {
                raised = true;
            }
            if (view.holding >= view.needed()) {
                removeUnmet(view);
            }
            if (raised) {
                sendIfChanged(view, actions);
            }
        }
    }

    /** Adds one slot to a daemon: one that it may be using already, else a free one, of its own zone first. */
    private boolean raise(LedgerView view) {
        for (LedgerHold hold : view.holds.values()) {
            // Where daemons may use more than the slots, as after expired leases, what they use has to end first.
            if (hold.granted < hold.bound
                    && hold.server.free() >= 0
                    && hold.granted < hold.server.capacity
                    && view.mayUse(hold.server)
                    && hold.granted >= hold.inUse) {
                grant(view, hold, hold.granted + 1);
                return true;
            }
        }
        if (freeSlots() <= 0) {
            return false;
        }
        LedgerServer best = null;
        boolean bestInZone = false;
        for (LedgerServer server : view.candidates) {
            if (server.free() <= 0) {
                continue;
            }
            boolean inZone = server.listed.zone().equals(view.zone);
            if (best == null || inZone && !bestInZone || inZone == bestInZone && server.free() > best.free()) {
                best = server;
                bestInZone = inZone;
            }
        }
        if (best == null) {
            return false;
        }
        LedgerServer chosen = best;
        LedgerHold hold = view.holds.computeIfAbsent(best.id, key -> new LedgerHold(chosen));
        grant(view, hold, hold.granted + 1);
        return true;
    }

    private void grant(LedgerView view, LedgerHold hold, int granted) {
        set(view, hold, granted, Math.max(hold.bound, granted), hold.inUse);
        hold.changedSequence = view.sequence + 1;
        view.changed = true;
    }

    private void set(LedgerView view, LedgerHold hold, int granted, int bound, int inUse) {
        idle += Math.max(0, granted - inUse) - Math.max(0, hold.granted - hold.inUse);
        int before = Math.max(hold.granted, hold.inUse);
        int after = Math.max(granted, inUse);
        returning += bound - after - (hold.bound - before);
        view.holding += after - before;
        hold.server.bound += bound - hold.bound;
        boundSum += bound - hold.bound;
        hold.granted = granted;
        hold.bound = bound;
        hold.inUse = inUse;
    }

    private void sendIfChanged(LedgerView view, List<LedgerAction> actions) {
        if (!view.changed && !view.capsChanged) {
            return;
        }
        boolean onlyLowered = !view.capsChanged;
        for (LedgerHold hold : view.holds.values()) {
            onlyLowered &= hold.changedSequence <= view.confirmed || hold.granted <= hold.reportedHeld;
        }
        if (onlyLowered) {
            advanceSequence(view);
            actions.add(new LedgerAction.SendRecall(
                    view.daemon, new SlotRecall(limits.service(), part, changedLeases(view), view.sequence)));
        } else {
            actions.add(answer(view, 0));
        }
    }

    private LedgerAction answer(LedgerView view, long reportNumber) {
        advanceSequence(view);
        List<Integer> capsByRank = new ArrayList<>(RANKS.length);
        for (int cap : view.caps) {
            capsByRank.add(cap);
        }
        int validMillis = (int) (LEASE_NANOS / 1_000_000);
        return new LedgerAction.SendGrant(
                view.daemon,
                new SlotGrant(
                        limits.service(),
                        part,
                        changedLeases(view),
                        validMillis,
                        reportNumber,
                        view.sequence,
                        capsByRank,
                        view.spare));
    }

    private static void advanceSequence(LedgerView view) {
        if (view.changed || view.capsChanged) {
            view.sequence++;
            view.changed = false;
            view.capsChanged = false;
        }
    }

    private static List<SlotLease> changedLeases(LedgerView view) {
        List<SlotLease> leases = new ArrayList<>();
        for (LedgerHold hold : view.holds.values()) {
            if (hold.changedSequence > view.confirmed) {
                // The daemon may return the slot and then apply this message, so the bound must outlast it too.
                hold.changedSequence = view.sequence;
                leases.add(new SlotLease(hold.server.id, hold.granted));
            }
        }
        return leases;
    }
}
