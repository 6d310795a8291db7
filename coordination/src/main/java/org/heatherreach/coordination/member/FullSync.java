package org.heatherreach.coordination.member;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Reads the whole member list of one peer page by page, and decides when that is due.
 *
 * <p>The first member that this daemon learns of is the peer of the first full sync. Many new or returned members at
 * once mean that two separated parts of the fleet are connected again; gossip alone, with at most 8 updates per packet,
 * takes minutes to send them all. If a page of a full sync brings such members, this list was out of date and that of
 * the peer may be incomplete too, so another full sync with a random peer follows.
 *
 * <p>Invariants: at most one full sync runs, with at most one page requested; a full sync with a random peer starts no
 * sooner than {@link MemberSettings#SYNC_INTERVAL_NANOS} after the start of the one before. Confined to the thread of
 * its list.
 */
final class FullSync {
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Requests to one peer that may stay unanswered in sequence before another peer is asked. */
    private static final int FAILURE_LIMIT = 2;

    private final PingTargets pingTargets;
    private final PacketFactory packets;

    private Transfer transfer;
    private boolean initialStarted;
    private boolean due;
    private long startAllowedNanos;
    private long massJoinWindowEndNanos;
    private int newMembersInWindow;

    FullSync(PingTargets pingTargets, PacketFactory packets, long nowNanos) {
        this.pingTargets = Objects.requireNonNull(pingTargets, "pingTargets");
        this.packets = Objects.requireNonNull(packets, "packets");
        this.startAllowedNanos = nowNanos;
        this.massJoinWindowEndNanos = nowNanos;
    }

    /** Starts a full sync that is due, or requests a page again that did not arrive in time. */
    void tick(long nowNanos, List<MemberAction> actions) {
        if (transfer == null && due && nowNanos - startAllowedNanos >= 0) {
            due = false;
            pingTargets.pickRandom(1, null).forEach(entry -> start(entry.member.address(), nowNanos));
        }
        if (transfer == null || nowNanos - transfer.sentNanos < RETRY_NANOS) {
            return;
        }
        if (++transfer.failures > FAILURE_LIMIT) {
            replacePeer();
        }
        if (transfer != null) {
            requestPage(nowNanos, actions);
        }
    }

    /** Counts a new or returned member, which may make a full sync due. */
    void countNewMember(Member member, boolean gossip, long nowNanos) {
        if (!initialStarted) {
            initialStarted = true;
            start(member.address(), nowNanos);
        } else if (!gossip) {
            due = true;
        } else {
            countGossipedMember(nowNanos);
        }
    }

    /** Returns whether a packet is the requested page. */
    boolean isPage(MemberPacket packet) {
        return transfer != null && packet.kind() == MemberPacket.Kind.ACK && packet.sequence() == transfer.sequence;
    }

    /** Requests the page after the given one or ends the full sync. */
    void handlePage(MemberPacket page, long nowNanos, List<MemberAction> actions) {
        transfer.failures = 0;
        if (page.target() == 0) {
            transfer = null;
        } else {
            transfer.pageStart = page.target();
            requestPage(nowNanos, actions);
        }
    }

    private void start(MemberAddress peer, long nowNanos) {
        if (transfer == null) {
            transfer = new Transfer(peer);
            // The first page is requested at the next tick, which counts it as no failure.
            transfer.sentNanos = nowNanos - RETRY_NANOS;
            transfer.failures = -1;
            startAllowedNanos = nowNanos + MemberSettings.SYNC_INTERVAL_NANOS;
            newMembersInWindow = 0;
        }
    }

    private void countGossipedMember(long nowNanos) {
        if (nowNanos - massJoinWindowEndNanos >= 0) {
            massJoinWindowEndNanos = nowNanos + MemberSettings.MASS_JOIN_WINDOW_NANOS;
            newMembersInWindow = 0;
        }
        if (++newMembersInWindow >= MemberSettings.MASS_JOIN_THRESHOLD) {
            due = true;
        }
    }

    /** Continues with another peer, or gives up and waits for a new member if there is none. */
    private void replacePeer() {
        List<MemberEntry> replacements = pingTargets.pickRandom(1, null);
        if (replacements.isEmpty()) {
            transfer = null;
            initialStarted = false;
        } else {
            transfer.peer = replacements.get(0).member.address();
            transfer.failures = 0;
        }
    }

    private void requestPage(long nowNanos, List<MemberAction> actions) {
        transfer.sequence = packets.nextSequence();
        transfer.sentNanos = nowNanos;
        actions.add(packets.ping(transfer.peer, transfer.sequence, transfer.pageStart, 0, nowNanos));
    }

    /** The progress of the full sync that is running. */
    private static final class Transfer {
        private MemberAddress peer;
        private long pageStart = 1;
        /** Negative until the first page is requested; zero would match pushed updates, which are not pages. */
        private long sequence = -1;

        private long sentNanos;
        private int failures;

        Transfer(MemberAddress peer) {
            this.peer = peer;
        }
    }
}
