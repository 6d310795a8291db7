package org.heatherreach.coordination.member;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * This daemon as it announces itself: its member record, its table version and its view of the store.
 *
 * <p>Invariants: the counter only grows; a member that has left refutes nothing any more. Confined to the thread of its
 * list.
 */
final class LocalMember {
    private Member member;
    private long refutations;

    private long tableVersion;
    private long storeConfirmedNanos;
    private boolean storeConfirmed;
    private boolean storeUnavailable;

    /**
     * Creates the record of a daemon that has just started.
     *
     * @throws IllegalArgumentException if the member is not alive
     */
    LocalMember(Member member) {
        this.member = Objects.requireNonNull(member, "self");
        if (member.state() != MemberState.ALIVE) {
            throw new IllegalArgumentException("the initial state of this daemon must be ALIVE");
        }
    }

    Member member() {
        return member;
    }

    /** Returns whether an update or a packet is about this daemon itself. */
    boolean isSameIncarnation(Member other) {
        return other.incarnation().equals(member.incarnation());
    }

    /** Sets the state under a larger counter, so that the new record replaces every earlier one. */
    void announce(MemberState state) {
        member = member.with(state, member.counter() + 1);
    }

    /**
     * Adopts the counter of an update about this daemon, and a larger one if the update claims that this daemon is
     * suspected or dead.
     *
     * @return whether the update was refuted, so that the new record has to be gossiped
     */
    boolean refute(Member update) {
        if (member.state() == MemberState.LEFT) {
            return false;
        }
        boolean suspected = update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD;
        if (suspected && update.counter() >= member.counter()) {
            member = member.with(member.state(), update.counter() + 1);
            refutations++;
            return true;
        }
        if (update.counter() > member.counter()) {
            member = member.with(member.state(), update.counter());
        }
        return false;
    }

    long refutations() {
        return refutations;
    }

    /** Sets the table version and the view of the store that later packets carry. */
    void advertise(long newTableVersion, long newStoreConfirmedNanos, boolean newStoreUnavailable) {
        tableVersion = newTableVersion;
        member = member.withTableVersion(newTableVersion);
        storeConfirmedNanos = newStoreConfirmedNanos;
        storeConfirmed = true;
        storeUnavailable = newStoreUnavailable;
    }

    /** Returns the beacon of a packet that is sent now. */
    TableBeacon beacon(long nowNanos) {
        if (!storeConfirmed) {
            return new TableBeacon(tableVersion, TableBeacon.NEVER_CONFIRMED, storeUnavailable);
        }
        // Rounding up and adding 2 ms for the network keep the age from shrinking as it passes from daemon to daemon.
        long ageMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(nowNanos - storeConfirmedNanos)) + 2;
        return new TableBeacon(tableVersion, (int) Math.min(ageMillis, TableBeacon.NEVER_CONFIRMED), storeUnavailable);
    }
}
