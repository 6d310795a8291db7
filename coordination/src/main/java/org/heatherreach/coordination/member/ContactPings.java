package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

/**
 * Pings addresses beside the failure detection: those at which a member may be that this daemon doesn't know or that it
 * has declared dead.
 *
 * <p>Invariants: no ping goes to this daemon's own address, and at most one to a disputed member for each page. Confined to
 * one thread.
 */
final class ContactPings {
    private final MemberSettings settings;
    private final RandomGenerator random;
    private final LocalMember local;
    private final ContactList contacts;
    private final MemberTable table;
    private final PacketFactory packets;
    private long nextContactNanos;

    /**
     * Creates an instance; the first address is due at once.
     *
     * @param settings the intervals
     * @param random chooses among the disputed members
     * @param local this daemon
     * @param contacts the addresses of the VM list and of the configuration
     * @param table the other members
     * @param packets makes the pings
     */
    ContactPings(
            MemberSettings settings,
            RandomGenerator random,
            LocalMember local,
            ContactList contacts,
            MemberTable table,
            PacketFactory packets,
            long nowNanos) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.random = Objects.requireNonNull(random, "random");
        this.local = Objects.requireNonNull(local, "local");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.table = Objects.requireNonNull(table, "table");
        this.packets = Objects.requireNonNull(packets, "packets");
        this.nextContactNanos = nowNanos;
    }

    /**
     * Pings one member that is live in a page of a full sync and dead in this list. Only the member itself can resolve
     * the conflict, with a larger counter. One ping per page avoids a burst and is enough, because many daemons read
     * pages and together reach all such members.
     */
    void contactDisputed(List<Member> page, long nowNanos, List<MemberAction> actions) {
        List<Member> disputed = new ArrayList<>();
        for (Member update : page) {
            MemberEntry entry = table.find(update.incarnation());
            if (entry != null
                    && entry.member.state() == MemberState.DEAD
                    && update.state().isLive()) {
                disputed.add(update);
            }
        }
        if (!disputed.isEmpty()) {
            Member member = disputed.get(random.nextInt(disputed.size()));
            actions.add(packets.contact(member.address(), nowNanos));
        }
    }

    /**
     * Pings addresses at which no member is known, in turn and at an interval.
     *
     * @param alone whether this daemon knows no other member, so that it looks for one more often
     */
    void contactUnknown(boolean alone, long nowNanos, List<MemberAction> actions) {
        if (nowNanos - nextContactNanos < 0 || contacts.isEmpty()) {
            return;
        }
        nextContactNanos = nowNanos + (alone ? settings.pingIntervalNanos() : settings.contactIntervalNanos());
        int limit = alone ? MemberSettings.RELAY_COUNT : 1;
        for (MemberAddress address : contacts.next(limit, this::isUnknown)) {
            actions.add(packets.contact(address, nowNanos));
        }
    }

    private boolean isUnknown(MemberAddress address) {
        return !address.equals(local.member().address()) && table.findByAddress(address) == null;
    }
}
