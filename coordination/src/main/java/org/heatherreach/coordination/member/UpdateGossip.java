package org.heatherreach.coordination.member;

import java.util.List;
import java.util.Objects;

/**
 * Queues updates for gossip and pushes new ones to a few random members at once.
 *
 * <p>Invariants: each update is sent a number of times that grows with the logarithm of the fleet size; a token bucket
 * limits the rate of pushed packets. Confined to the thread of its list.
 */
final class UpdateGossip {
    private final UpdateQueue updateQueue;
    private final PingTargets pingTargets;
    private final ContactList contacts;
    private final PacketFactory packets;

    private boolean pushDue;
    private double pushTokens = MemberSettings.PUSH_BURST;
    private long refilledNanos;

    UpdateGossip(
            UpdateQueue updateQueue,
            PingTargets pingTargets,
            ContactList contacts,
            PacketFactory packets,
            long nowNanos) {
        this.updateQueue = Objects.requireNonNull(updateQueue, "updateQueue");
        this.pingTargets = Objects.requireNonNull(pingTargets, "pingTargets");
        this.contacts = Objects.requireNonNull(contacts, "contacts");
        this.packets = Objects.requireNonNull(packets, "packets");
        this.refilledNanos = nowNanos;
    }

    /** Queues an update; the next push sends it. */
    void enqueue(Member update) {
        // A daemon that has just started knows few members, but the VM list indicates the size of the fleet.
        int bits = 32 - Integer.numberOfLeadingZeros(Math.max(pingTargets.size(), contacts.vmListSize()) + 1);
        updateQueue.add(update, 2 * bits);
        pushDue = true;
    }

    /** Pushes queued updates if there are new ones and the rate limit allows it. */
    void pushUpdates(long nowNanos, List<MemberAction> actions) {
        refillTokens(nowNanos);
        if (!pushDue || pushTokens < 1) {
            return;
        }
        pushDue = false;
        int fanout = (int) Math.min(MemberSettings.PUSH_FANOUT, pushTokens);
        pushTokens -= push(fanout, nowNanos, actions);
    }

    /**
     * Pushes queued updates without a rate limit and to more members than usual: this process sends no later packets
     * that could repeat its last update.
     */
    void pushLastUpdate(long nowNanos, List<MemberAction> actions) {
        push(2 * MemberSettings.PUSH_FANOUT, nowNanos, actions);
    }

    long droppedUpdates() {
        return updateQueue.droppedUpdates();
    }

    private void refillTokens(long nowNanos) {
        double seconds = (nowNanos - refilledNanos) / 1e9;
        refilledNanos = nowNanos;
        pushTokens = Math.min(MemberSettings.PUSH_BURST, pushTokens + seconds * MemberSettings.PUSH_PER_SECOND);
    }

    private int push(int fanout, long nowNanos, List<MemberAction> actions) {
        List<MemberEntry> receivers = pingTargets.pickRandom(fanout, null);
        for (MemberEntry receiver : receivers) {
            actions.add(packets.push(receiver.member.address(), nowNanos));
        }
        return receivers.size();
    }
}
