package org.heatherreach.coordination.member;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Pings the members in turn, one per interval, and asks relays for indirect pings if an acknowledgement is late.
 *
 * <p>Invariants: at most one probe is outstanding; a daemon that receives no packets reports no failed probe. Confined
 * to the thread of its list.
 */
final class FailureDetector {
    private final MemberSettings settings;
    private final LocalMember local;
    private final PingTargets pingTargets;
    private final PacketFactory packets;

    private Probe probe;
    private int pingsSent;
    private long repairPageStart = 1;
    private long nextPingNanos;
    private long lastReceivedNanos;

    /** Creates a detector that sends its first ping at the given time. */
    FailureDetector(
            MemberSettings settings,
            LocalMember local,
            PingTargets pingTargets,
            PacketFactory packets,
            long firstPingNanos,
            long nowNanos) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.local = Objects.requireNonNull(local, "local");
        this.pingTargets = Objects.requireNonNull(pingTargets, "pingTargets");
        this.packets = Objects.requireNonNull(packets, "packets");
        this.nextPingNanos = firstPingNanos;
        this.lastReceivedNanos = nowNanos;
    }

    /** Records that a packet of any other member has arrived. */
    void recordReceived(long nowNanos) {
        lastReceivedNanos = nowNanos;
    }

    /** Returns whether this daemon receives no packets at all; then missing acknowledgements are no evidence. */
    boolean isCutOff(long nowNanos) {
        return nowNanos - lastReceivedNanos >= 2 * settings.pingIntervalNanos();
    }

    /** Abandons the probe after a pause of this process; the next ping is due at once. */
    void resumeAfterPause(long pauseNanos, long nowNanos) {
        probe = null;
        nextPingNanos = nowNanos;
        lastReceivedNanos += pauseNanos;
    }

    /** Abandons the probe of a member that is no longer reachable. */
    void cancelProbe(MemberEntry entry) {
        if (probe != null && probe.entry == entry) {
            probe = null;
        }
    }

    /** Asks relays to ping the probed member if its acknowledgement is late. */
    void requestIndirectPings(long nowNanos, List<MemberAction> actions) {
        if (probe == null || probe.acknowledged || probe.indirect) {
            return;
        }
        if (nowNanos - probe.sentNanos < settings.ackTimeoutNanos()) {
            return;
        }
        probe.indirect = true;
        Member target = probe.entry.member;
        for (MemberEntry relay :
                pingTargets.pickRelays(probe.entry, local.member().zone())) {
            actions.add(packets.pingRequest(relay.member.address(), probe.sequence, target, nowNanos));
        }
    }

    boolean isPingDue(long nowNanos) {
        return nowNanos - nextPingNanos >= 0;
    }

    /** Ends the probe and returns its member if that acknowledged neither the ping nor the indirect pings. */
    Optional<MemberEntry> endProbe(long nowNanos) {
        Probe ended = probe;
        probe = null;
        if (ended == null || ended.acknowledged || isCutOff(nowNanos)) {
            return Optional.empty();
        }
        return Optional.of(ended.entry);
    }

    /** Pings the next member, if there is one, and schedules the ping after it. */
    void pingNext(long nowNanos, List<MemberAction> actions) {
        nextPingNanos += settings.pingIntervalNanos();
        if (nowNanos - nextPingNanos >= 0) {
            nextPingNanos = nowNanos + settings.pingIntervalNanos();
        }
        MemberEntry target = pingTargets.next();
        if (target == null) {
            return;
        }
        boolean repair = ++pingsSent % MemberSettings.REPAIR_PERIOD == 0;
        probe = new Probe(target, packets.nextSequence(), nowNanos, repair);
        actions.add(packets.ping(
                target.member.address(),
                probe.sequence,
                repair ? repairPageStart : 0,
                target.member.incarnation().value(),
                nowNanos));
    }

    /** Returns whether an acknowledgement answers the outstanding probe. */
    boolean isAnswer(MemberPacket ack) {
        return probe != null && probe.sequence == ack.sequence();
    }

    /** Handles an acknowledgement of the outstanding probe by its target or by a relay. */
    void handleAck(MemberPacket ack, List<MemberAction> actions) {
        long target = probe.entry.member.incarnation().value();
        boolean direct = ack.sender().incarnation().value() == target;
        if (!probe.acknowledged && (direct || ack.target() == target)) {
            probe.acknowledged = true;
            actions.add(new MemberAction.ExtendActivity(probe.sentNanos));
        }
        if (direct && probe.repair) {
            repairPageStart = ack.target() == 0 ? 1 : ack.target();
        }
    }

    private static final class Probe {
        private final MemberEntry entry;
        private final long sequence;
        private final long sentNanos;
        private final boolean repair;
        private boolean indirect;
        private boolean acknowledged;

        Probe(MemberEntry entry, long sequence, long sentNanos, boolean repair) {
            this.entry = entry;
            this.sequence = sequence;
            this.sentNanos = sentNanos;
            this.repair = repair;
        }
    }
}
