package org.heatherreach.coordination.slot;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.rank.RankShares;
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

    /** Bounds the cost of recomputing the caps of all daemons when ranks become congested. */
    private static final long MIN_CAP_GAP_NANOS = 5_000_000L;

    /** The caps cost time in proportion to the daemons; at 880 daemons they are recomputed each 44 ms at most. */
    private static final long CAP_GAP_NANOS_PER_DAEMON = 50_000L;

    /** Below this rate a rank or daemon has no recent arrivals. */
    private static final double ACTIVE_RATE = 0.01;

    /** Idle slots that stay with the owner, so that a queue gets one within a round trip instead of after a recall. */
    private static final int RESERVE_PERCENT = 10;

    /**
     * The part of a rank's recent load that is kept free for it beyond what it needs now. Other ranks lend the rest of
     * its guarantee; it gets that back as their requests end. Reserving the whole load left 1 to 4 % more of the slots
     * idle in a flood, and reserving none let the 99th percentile of standard grow by 31 % instead of 21 % at certdesk.
     */
    private static final double RESERVED_LOAD = 0.5;

    /** The recent load follows the load of the last ten rebalancings. */
    private static final double LOAD_WEIGHT = 0.1;

    private static final Rank[] RANKS = Rank.values();

    private final int part;
    private final long leaseFromNanos;
    private final Map<ServerId, ServerState> servers = new LinkedHashMap<>();
    private final Map<IncarnationId, View> views = new LinkedHashMap<>();
    private final Map<IncarnationId, ZoneId> members = new HashMap<>();
    private final Set<View> unmetViews = new LinkedHashSet<>();
    private final List<View> donorOrder = new ArrayList<>();
    private final int[] queued = new int[RANKS.length];
    private final int[] running = new int[RANKS.length];
    private final double[] rates = new double[RANKS.length];
    private final double[] loads = new double[RANKS.length];
    private final double[] fractions = new double[RANKS.length];
    private final boolean[] limited = new boolean[RANKS.length];

    private ServiceLimits limits;
    private Map<Rank, RankLimits> rankLimits;
    private Map<IncarnationId, Set<ServerId>> subsets = Map.of();
    private List<ServerState> usable = List.of();
    private int totalSlots;
    private int returning;
    private int idle;
    private int donorCursor;
    private int boundSum;
    private int unmetSum;
    private long lastRebalanceNanos;
    private long lastCapsNanos;

    /** Creates a ledger that knows no server. It leases nothing new until daemons had time to report their holdings. */
    public SlotLedger(ServiceLimits limits, Map<Rank, RankLimits> rankLimits, int part, long nowNanos) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.rankLimits = new EnumMap<>(rankLimits);
        this.part = part;
        leaseFromNanos = nowNanos + REBUILD_NANOS;
        lastRebalanceNanos = nowNanos;
        lastCapsNanos = nowNanos - MIN_CAP_GAP_NANOS;
    }

    /** Sets the servers of the part. Leases of servers that are gone or out of use are recalled. */
    public List<LedgerAction> onServers(List<SlotServer> listed, long nowNanos) {
        servers.values().forEach(server -> server.listed = null);
        for (SlotServer entry : listed) {
            servers.computeIfAbsent(entry.server(), ServerState::new).listed = entry;
        }
        return onCapacityChange(nowNanos);
    }

    /** Sets the limits of the table. */
    public List<LedgerAction> onLimits(ServiceLimits newLimits, Map<Rank, RankLimits> newRankLimits, long nowNanos) {
        limits = Objects.requireNonNull(newLimits, "newLimits");
        rankLimits = new EnumMap<>(newRankLimits);
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
        for (ServerState server : servers.values()) {
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
        for (View view : views.values()) {
            setCandidates(view);
            for (Hold hold : view.holds.values()) {
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
        for (View view : views.values()) {
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
        View view = views.computeIfAbsent(daemon, key -> createView(key, nowNanos));
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
        updateCapsIfLimitsChange(nowNanos, actions);
        liftCaps(view);
        meetNeed(view, nowNanos, actions);
        serveUnmet(view, nowNanos, actions);
        if (view.changed || view.capsChanged || nowNanos - view.renewedNanos >= RENEW_NANOS) {
            view.renewedNanos = nowNanos;
            actions.add(answer(view, report.number()));
        }
        return actions;
    }

    private void setCandidates(View view) {
        view.subset = subsets.get(view.daemon);
        if (view.subset == null) {
            view.candidates = usable;
            return;
        }
        view.candidates = new ArrayList<>();
        for (ServerId id : view.subset) {
            ServerState server = servers.get(id);
            if (server != null && server.capacity > 0) {
                view.candidates.add(server);
            }
        }
    }

    private View createView(IncarnationId daemon, long nowNanos) {
        View view = new View(daemon);
        view.zone = members.get(daemon);
        view.renewedNanos = nowNanos - RENEW_NANOS;
        setCandidates(view);
        Arrays.fill(view.caps, Integer.MAX_VALUE);
        donorOrder.clear();
        return view;
    }

    private void takeDemand(View view, SlotReport report) {
        addDemand(view, -1);
        for (RankDemand demand : report.demand()) {
            int rank = demand.rank().ordinal();
            view.queued[rank] = demand.queued();
            view.running[rank] = demand.running();
            view.rates[rank] = demand.arrivalsPerSecond();
        }
        addDemand(view, 1);
    }

    private void addDemand(View view, int sign) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            queued[rank] += sign * view.queued[rank];
            running[rank] += sign * view.running[rank];
            rates[rank] += sign * view.rates[rank];
        }
    }

    private void takeHoldings(View view, SlotReport report) {
        for (Hold hold : view.holds.values()) {
            hold.reportedHeld = 0;
            hold.reportedInUse = 0;
        }
        for (SlotHolding holding : report.holdings()) {
            ServerState server = servers.computeIfAbsent(holding.server(), ServerState::new);
            Hold hold = view.holds.computeIfAbsent(server.id, key -> new Hold(server));
            hold.reportedHeld = holding.held();
            hold.reportedInUse = holding.inUse();
        }
        Iterator<Hold> holds = view.holds.values().iterator();
        while (holds.hasNext()) {
            Hold hold = holds.next();
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
        ServerState state = servers.get(server);
        return state == null ? 0 : state.bound;
    }

    /** Returns how many slots of a server are granted to a daemon. */
    public int grantedTo(IncarnationId daemon, ServerId server) {
        View view = views.get(daemon);
        Hold hold = view == null ? null : view.holds.get(server);
        return hold == null ? 0 : hold.granted;
    }

    private void rebalance(long nowNanos, List<LedgerAction> actions) {
        lastRebalanceNanos = nowNanos;
        dropExpired(nowNanos);
        for (int rank = 0; rank < RANKS.length; rank++) {
            loads[rank] += LOAD_WEIGHT * (queued[rank] + running[rank] - loads[rank]);
        }
        updateCaps(nowNanos);
        shareSpareSlots();
        if (nowNanos - leaseFromNanos < 0) {
            return;
        }
        for (View view : views.values()) {
            meetNeed(view, nowNanos, actions);
        }
        releaseInactive();
        spreadIdleSlots();
        for (View view : views.values()) {
            sendIfChanged(view, actions);
        }
    }

    private void dropExpired(long nowNanos) {
        Iterator<View> all = views.values().iterator();
        while (all.hasNext()) {
            View view = all.next();
            if (view.expiryDeadlineNanos - nowNanos <= 0) {
                for (Hold hold : view.holds.values()) {
                    set(view, hold, 0, 0, 0);
                }
                addDemand(view, -1);
                removeUnmet(view);
                donorOrder.clear();
                all.remove();
            }
        }
        servers.values().removeIf(server -> server.listed == null && server.bound == 0);
    }

    private RankShares shares() {
        int[] needed = new int[RANKS.length];
        double[] expected = new double[RANKS.length];
        for (int rank = 0; rank < RANKS.length; rank++) {
            needed[rank] = queued[rank] + running[rank];
            expected[rank] = rates[rank] > ACTIVE_RATE ? RESERVED_LOAD * loads[rank] : 0;
        }
        return new RankShares(totalSlots, needed, expected, rankLimits);
    }

    private void updateCapsIfLimitsChange(long nowNanos, List<LedgerAction> actions) {
        if (nowNanos - lastCapsNanos < Math.max(MIN_CAP_GAP_NANOS, views.size() * CAP_GAP_NANOS_PER_DAEMON)) {
            return;
        }
        RankShares shares = shares();
        boolean changed = false;
        for (Rank rank : RANKS) {
            changed |= shares.isLimited(rank) != limited[rank.ordinal()];
        }
        if (changed) {
            updateCaps(nowNanos);
            for (View view : views.values()) {
                sendIfChanged(view, actions);
            }
        }
    }

    private void updateCaps(long nowNanos) {
        lastCapsNanos = nowNanos;
        RankShares shares = shares();
        for (Rank rank : RANKS) {
            int index = rank.ordinal();
            limited[index] = shares.isLimited(rank);
            if (limited[index]) {
                // The fraction is carried over, so that the share holds over time.
                double exact = shares.allowedSlots(rank) + fractions[index];
                fractions[index] = exact - Math.floor(exact);
                apportion(index, (int) exact);
            } else {
                // Held slots bound what a daemon starts before the next report, so each may have the whole headroom.
                int headroom = Math.max(1, (int) (shares.ceilingSlots(rank) - queued[index] - running[index]));
                for (View view : views.values()) {
                    double share = rates[index] > 0 ? view.rates[index] / rates[index] : 0;
                    int cap = Math.max(view.queued[index] + view.running[index] + headroom, (int)
                            Math.ceil(share * shares.ceilingSlots(rank)));
                    setCap(view, index, cap);
                    view.credits[index] = 0;
                }
            }
        }
    }

    /** Divides the allowed slots of a rank by arrival rates; credits carry fractions over, so that small shares rotate. */
    private void apportion(int rank, int slots) {
        List<View> candidates = new ArrayList<>();
        double weightSum = 0;
        for (View view : views.values()) {
            if (view.queued[rank] + view.running[rank] > 0) {
                candidates.add(view);
                weightSum += view.rates[rank] + ACTIVE_RATE;
            } else {
                setCap(view, rank, 1);
            }
        }
        int left = slots;
        for (View view : candidates) {
            view.credits[rank] += slots * (view.rates[rank] + ACTIVE_RATE) / weightSum;
            int whole = Math.max(
                    0, Math.min((int) view.credits[rank], Math.min(left, view.queued[rank] + view.running[rank])));
            view.newCap = whole;
            left -= whole;
        }
        candidates.sort(Comparator.comparingDouble((View view) -> view.newCap - view.credits[rank]));
        boolean given = true;
        while (left > 0 && given) {
            given = false;
            // A daemon that needs less than its share leaves more than one slot to the others.
            for (View view : candidates) {
                if (left > 0 && view.newCap < view.queued[rank] + view.running[rank]) {
                    view.newCap++;
                    left--;
                    given = true;
                }
            }
        }
        for (View view : candidates) {
            view.credits[rank] = Math.max(-2, Math.min(2, view.credits[rank] - view.newCap));
            setCap(view, rank, view.newCap);
        }
    }

    /** A queue of a rank that is not limited must not wait for the next rebalancing. */
    private void liftCaps(View view) {
        for (int rank = 0; rank < RANKS.length; rank++) {
            int needed = view.queued[rank] + view.running[rank];
            if (!limited[rank] && view.queued[rank] > 0 && view.caps[rank] <= needed) {
                setCap(view, rank, needed + 1);
            }
        }
    }

    private static void setCap(View view, int rank, int cap) {
        if (view.caps[rank] != cap) {
            view.caps[rank] = cap;
            view.capsChanged = true;
        }
    }

    /** Gives each active daemon one slot more than it needs where the total allows, and the rest by arrival rates. */
    private void shareSpareSlots() {
        List<View> active = new ArrayList<>();
        double weightSum = 0;
        int spare = totalSlots;
        for (View view : views.values()) {
            view.weight = 0;
            for (int rank = 0; rank < RANKS.length; rank++) {
                // A rank at its limit can't use an idle slot.
                view.weight += limited[rank] ? 0 : view.rates[rank];
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
            for (View view : active) {
                view.spare = 1 + (int) (rest * view.weight / weightSum);
            }
            return;
        }
        // A daemon that has an idle slot already keeps it unless another has clearly more arrivals.
        active.sort(
                Comparator.comparingDouble((View view) -> -view.weight * (view.holding > view.needed() ? 1.25 : 1)));
        for (View view : active.subList(0, spare)) {
            view.spare = 1;
        }
    }

    private void releaseInactive() {
        for (View view : views.values()) {
            double rate = 0;
            for (double rankRate : view.rates) {
                rate += rankRate;
            }
            if (rate <= ACTIVE_RATE) {
                for (Hold hold : view.holds.values()) {
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
        for (View view : views.values()) {
            missing += view.spare > 0 && view.holding <= view.needed() ? 1 : 0;
        }
        for (int i = 0; i < missing; i++) {
            View donor = null;
            int most = 0;
            for (View view : views.values()) {
                int surplus = view.holding - view.needed() - Math.min(1, view.spare);
                if (surplus > most && view.idleHold() != null) {
                    donor = view;
                    most = surplus;
                }
            }
            if (donor == null) {
                return;
            }
            Hold hold = donor.idleHold();
            grant(donor, hold, hold.granted - 1);
        }
    }

    /** Raises the leases of a daemon to what it needs and its spare; recalls idle slots elsewhere for its queue. */
    private void meetNeed(View view, long nowNanos, List<LedgerAction> actions) {
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

    private void removeUnmet(View view) {
        if (unmetViews.remove(view)) {
            unmetSum -= view.unmet;
            view.unmet = 0;
        }
    }

    private void recallForUnmet(View reporter, List<LedgerAction> actions) {
        int missing = unmetSum - returning;
        while (missing > 0 && idle > 0) {
            View donor = chooseDonor();
            if (donor == null) {
                return;
            }
            Hold hold = donor.idleHold();
            grant(donor, hold, hold.granted - 1);
            if (donor != reporter) {
                sendIfChanged(donor, actions);
            }
            missing--;
        }
    }

    private View chooseDonor() {
        if (donorOrder.size() != views.size()) {
            donorOrder.clear();
            donorOrder.addAll(views.values());
        }
        View best = null;
        int most = 0;
        int considered = 0;
        int scanned = Math.min(donorOrder.size(), VIEWS_SCANNED);
        for (int i = 0; i < scanned && considered < DONORS_CONSIDERED; i++) {
            View view = donorOrder.get((donorCursor + i) % donorOrder.size());
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

    private void serveUnmet(View reporter, long nowNanos, List<LedgerAction> actions) {
        if (unmetViews.isEmpty() || freeSlots() <= 0 || nowNanos - leaseFromNanos < 0) {
            return;
        }
        List<View> waiting = new ArrayList<>(unmetViews);
        waiting.sort(Comparator.comparingInt(View::mostUrgentQueued));
        for (View view : waiting) {
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
    private boolean raise(View view) {
        for (Hold hold : view.holds.values()) {
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
        ServerState best = null;
        boolean bestInZone = false;
        for (ServerState server : view.candidates) {
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
        ServerState chosen = best;
        Hold hold = view.holds.computeIfAbsent(best.id, key -> new Hold(chosen));
        grant(view, hold, hold.granted + 1);
        return true;
    }

    private void grant(View view, Hold hold, int granted) {
        set(view, hold, granted, Math.max(hold.bound, granted), hold.inUse);
        hold.changedSequence = view.sequence + 1;
        view.changed = true;
    }

    private void set(View view, Hold hold, int granted, int bound, int inUse) {
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

    private void sendIfChanged(View view, List<LedgerAction> actions) {
        if (!view.changed && !view.capsChanged) {
            return;
        }
        boolean onlyLowered = !view.capsChanged;
        for (Hold hold : view.holds.values()) {
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

    private LedgerAction answer(View view, long reportNumber) {
        advanceSequence(view);
        List<Integer> caps = new ArrayList<>(RANKS.length);
        for (int cap : view.caps) {
            caps.add(cap);
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
                        caps,
                        view.spare));
    }

    private static void advanceSequence(View view) {
        if (view.changed || view.capsChanged) {
            view.sequence++;
            view.changed = false;
            view.capsChanged = false;
        }
    }

    private static List<SlotLease> changedLeases(View view) {
        List<SlotLease> leases = new ArrayList<>();
        for (Hold hold : view.holds.values()) {
            if (hold.changedSequence > view.confirmed) {
                // The daemon may return the slot and then apply this message, so the bound must outlast it too.
                hold.changedSequence = view.sequence;
                leases.add(new SlotLease(hold.server.id, hold.granted));
            }
        }
        return leases;
    }

    private static final class ServerState {
        final ServerId id;
        SlotServer listed;
        int capacity;
        int bound;

        ServerState(ServerId id) {
            this.id = id;
        }

        int free() {
            return capacity - bound;
        }
    }

    private static final class Hold {
        final ServerState server;
        int granted;
        int bound;
        int inUse;
        int reportedHeld;
        int reportedInUse;
        long changedSequence;

        Hold(ServerState server) {
            this.server = server;
        }
    }

    private static final class View {
        final IncarnationId daemon;
        final Map<ServerId, Hold> holds = new LinkedHashMap<>();
        final int[] queued = new int[RANKS.length];
        final int[] running = new int[RANKS.length];
        final double[] rates = new double[RANKS.length];
        final int[] caps = new int[RANKS.length];
        final double[] credits = new double[RANKS.length];
        ZoneId zone;
        Set<ServerId> subset;
        List<ServerState> candidates;
        long reportNumber;
        long confirmed;
        long sequence;
        long expiryDeadlineNanos;
        long renewedNanos;
        boolean changed;
        boolean capsChanged;
        int holding;
        int unmet;
        int spare;
        int newCap;
        double weight;

        View(IncarnationId daemon) {
            this.daemon = daemon;
        }

        boolean mayUse(ServerState server) {
            return server.capacity > 0 && (subset == null || subset.contains(server.id));
        }

        /** The running requests and those queued ones that the caps let run. */
        int needed() {
            int sum = 0;
            for (int rank = 0; rank < RANKS.length; rank++) {
                sum += running[rank] + Math.min(queued[rank], Math.max(0, caps[rank] - running[rank]));
            }
            return sum;
        }

        int mostUrgentQueued() {
            for (int rank = 0; rank < RANKS.length; rank++) {
                if (queued[rank] > 0 && running[rank] < caps[rank]) {
                    return rank;
                }
            }
            return RANKS.length;
        }

        Hold idleHold() {
            Hold best = null;
            for (Hold hold : holds.values()) {
                if (hold.granted > hold.inUse
                        && (best == null || hold.granted - hold.inUse > best.granted - best.inUse)) {
                    best = hold;
                }
            }
            return best;
        }
    }
}
