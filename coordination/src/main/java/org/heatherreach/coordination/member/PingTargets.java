package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.ZoneId;

/**
 * The reachable members in the shuffled order in which they are pinged, and random selection among them.
 *
 * <p>Invariants: each member is pinged once before any is pinged twice; adding and removing take constant time.
 *
 * <p>Confined to one thread.
 */
final class PingTargets {
    /**
     * Random draws per zone rule; with three zones of equal size, 24 draws miss a given zone once in 16,000 times.
     */
    private static final int RELAY_DRAWS = 24;

    private final RandomGenerator random;
    private final List<MemberEntry> reachable = new ArrayList<>();
    private int nextIndex;

    PingTargets(RandomGenerator random) {
        this.random = Objects.requireNonNull(random, "random");
    }

    boolean isEmpty() {
        return reachable.isEmpty();
    }

    int size() {
        return reachable.size();
    }

    /** Adds a member at a random place among those not yet pinged in this round, so that it is pinged soon. */
    void add(MemberEntry entry) {
        entry.pingTargetsIndex = reachable.size();
        reachable.add(entry);
        int from = Math.min(nextIndex, entry.pingTargetsIndex);
        swap(entry.pingTargetsIndex, from + random.nextInt(entry.pingTargetsIndex - from + 1));
    }

    void remove(MemberEntry entry) {
        int last = reachable.size() - 1;
        swap(entry.pingTargetsIndex, last);
        reachable.remove(last);
        entry.pingTargetsIndex = -1;
    }

    /** Returns the next member to ping; null if there is none. */
    MemberEntry next() {
        if (reachable.isEmpty()) {
            return null;
        }
        if (nextIndex >= reachable.size()) {
            nextIndex = 0;
            for (int i = reachable.size() - 1; i > 0; i--) {
                swap(i, random.nextInt(i + 1));
            }
        }
        return reachable.get(nextIndex++);
    }

    /** Picks up to the given number of distinct members at random; the excluded member, if any, is not picked. */
    List<MemberEntry> pickRandom(int count, MemberEntry excluded) {
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
     * Picks the members that relay indirect pings. Preferred are distinct zones that are neither this daemon's nor the
     * target's, or two relays in the only such zone; relays that are still missing are picked in the zone of this
     * daemon or of the target. Relays that are all in one zone fail together if one direction between that zone and the
     * zone of this daemon or of the target is cut.
     *
     * @param ownZone the zone of this daemon
     */
    List<MemberEntry> pickRelays(MemberEntry target, ZoneId ownZone) {
        List<MemberEntry> relays = new ArrayList<>(MemberSettings.RELAY_COUNT);
        drawRelays(relays, MemberSettings.RELAY_COUNT, target, ownZone, ZoneRule.DISTINCT_THIRD_ZONES);
        drawRelays(relays, MemberSettings.RELAY_COUNT - 1, target, ownZone, ZoneRule.THIRD_ZONE);
        drawRelays(relays, MemberSettings.RELAY_COUNT, target, ownZone, ZoneRule.DISTINCT_ZONES);
        for (MemberEntry entry : pickRandom(MemberSettings.RELAY_COUNT, target)) {
            if (relays.size() < MemberSettings.RELAY_COUNT && !relays.contains(entry)) {
                relays.add(entry);
            }
        }
        return relays;
    }

    private void drawRelays(List<MemberEntry> relays, int wanted, MemberEntry target, ZoneId ownZone, ZoneRule rule) {
        ZoneId targetZone = target.member.zone();
        for (int draw = 0; draw < RELAY_DRAWS && relays.size() < wanted; draw++) {
            MemberEntry entry = reachable.get(random.nextInt(reachable.size()));
            ZoneId zone = entry.member.zone();
            boolean isThirdZone = !zone.equals(targetZone) && !zone.equals(ownZone);
            boolean eligible = entry != target
                    && entry.member.state() == MemberState.ALIVE
                    && (isThirdZone || !rule.thirdZoneOnly);
            if (eligible
                    && relays.stream().noneMatch(relay -> relay == entry || rule.distinctZones && isIn(relay, zone))) {
                relays.add(entry);
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
        second.pingTargetsIndex = a;
        first.pingTargetsIndex = b;
    }

    /** A constraint on the zones of relays. A third zone is neither that of this daemon nor that of the target. */
    private enum ZoneRule {
        /** Third zones, each different from those of the relays picked before. */
        DISTINCT_THIRD_ZONES(true, true),
        /** Third zones. */
        THIRD_ZONE(true, false),
        /** Zones that differ from those of the relays picked before. */
        DISTINCT_ZONES(false, true);

        private final boolean thirdZoneOnly;
        private final boolean distinctZones;

        ZoneRule(boolean thirdZoneOnly, boolean distinctZones) {
            this.thirdZoneOnly = thirdZoneOnly;
            this.distinctZones = distinctZones;
        }
    }
}
