package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ZoneId;

/**
 * The members that can be reached, in the shuffled order in which they are pinged, and random picks of them.
 *
 * <p>Invariants: each member is pinged once before any is pinged twice; adding and removing take constant time.
 *
 * <p>Confined to one thread.
 */
final class PingRing {
    /** Draws for one kind of helper; in a fleet of three equal zones all miss one of them once in 16,000 times. */
    private static final int HELPER_DRAWS = 24;

    private final RandomGenerator random;
    private final List<MemberEntry> reachable = new ArrayList<>();
    private int position;

    PingRing(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    boolean isEmpty() {
        return reachable.isEmpty();
    }

    int size() {
        return reachable.size();
    }

    /** Adds a member at a random position among those not yet pinged in this round, so that it is pinged soon. */
    void add(MemberEntry entry) {
        entry.index = reachable.size();
        reachable.add(entry);
        int from = Math.min(position, entry.index);
        swap(entry.index, from + random.nextInt(entry.index - from + 1));
    }

    void remove(MemberEntry entry) {
        int last = reachable.size() - 1;
        swap(entry.index, last);
        reachable.remove(last);
        entry.index = -1;
    }

    /** Returns the next member to ping; null if there is none. */
    MemberEntry next() {
        if (reachable.isEmpty()) {
            return null;
        }
        if (position >= reachable.size()) {
            position = 0;
            for (int i = reachable.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        return reachable.get(position++);
    }

    /** Picks up to a number of different members at random, without the excluded one. */
    List<MemberEntry> pick(int count, MemberEntry excluded) {
        List<MemberEntry> picked = new ArrayList<>(count);
        for (int draw = 0; draw < 4 * count && picked.size() < count && !reachable.isEmpty(); draw++) {
            MemberEntry entry = reachable.get(random.nextInt(reachable.size()));
            if (entry != excluded && !picked.contains(entry)) {
                picked.add(entry);
            }
        }
        return picked;
    }

    /**
     * Picks members for indirect pings: as many as possible in zones that are neither this daemon's nor the target's,
     * each in another zone; two in the only such zone; then one in the zone of this daemon or of the target. Helpers
     * that are all in one zone fail together if one direction between that zone and an end is cut.
     *
     * @param ownZone the zone of this daemon
     */
    List<MemberEntry> pickHelpers(MemberEntry target, ZoneId ownZone) {
        List<MemberEntry> helpers = new ArrayList<>(MemberSettings.HELPERS);
        drawHelpers(helpers, MemberSettings.HELPERS, target, ownZone, Distance.THIRD_ZONES_APART);
        drawHelpers(helpers, MemberSettings.HELPERS - 1, target, ownZone, Distance.THIRD_ZONE);
        drawHelpers(helpers, MemberSettings.HELPERS, target, ownZone, Distance.APART);
        for (MemberEntry entry : pick(MemberSettings.HELPERS, target)) {
            if (helpers.size() < MemberSettings.HELPERS && !helpers.contains(entry)) {
                helpers.add(entry);
            }
        }
        return helpers;
    }

    private void drawHelpers(
            List<MemberEntry> helpers, int wanted, MemberEntry target, ZoneId ownZone, Distance distance) {
        ZoneId targetZone = target.member.zone();
        for (int draw = 0; draw < HELPER_DRAWS && helpers.size() < wanted; draw++) {
            MemberEntry entry = reachable.get(random.nextInt(reachable.size()));
            ZoneId zone = entry.member.zone();
            boolean isThird = !zone.equals(targetZone) && !zone.equals(ownZone);
            boolean fits = entry != target && entry.member.state() == MemberState.ALIVE && (isThird || !distance.third);
            if (fits && helpers.stream().noneMatch(helper -> helper == entry || distance.apart && isIn(helper, zone))) {
                helpers.add(entry);
            }
        }
    }

    private static boolean isIn(MemberEntry entry, ZoneId zone) {
        return entry.member.zone().equals(zone);
    }

    private void swap(int a, int b) {
        MemberEntry first = reachable.get(a);
        MemberEntry second = reachable.get(b);
        reachable.set(a, second);
        reachable.set(b, first);
        second.index = a;
        first.index = b;
    }

    /** Where helpers have to be. */
    private enum Distance {
        /** In zones of neither end, each in another one. */
        THIRD_ZONES_APART(true, true),
        /** In zones of neither end. */
        THIRD_ZONE(true, false),
        /** Each in another zone. */
        APART(false, true);

        private final boolean third;
        private final boolean apart;

        Distance(boolean third, boolean apart) {
            this.third = third;
            this.apart = apart;
        }
    }
}
