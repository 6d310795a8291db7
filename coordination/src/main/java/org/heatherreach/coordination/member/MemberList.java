package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.IncarnationId;

/**
 * SWIM-style failure detection and membership.
 *
 * <p>Each interval one member is pinged. If it doesn't acknowledge the ping, three other members relay pings to it. The
 * relays are in different zones, preferably neither this daemon's nor the target's, so that a network partition in one
 * direction between two zones raises no suspicion. A suspect that doesn't refute the suspicion in time is declared
 * dead. Every update is sent a number of times that grows with the logarithm of the fleet size: new updates are pushed
 * to three members at once under a rate limit, and are then piggybacked on pings and acknowledgements.
 *
 * <p>A full sync reads the whole member list of one peer page by page. A new daemon runs one, and so does a daemon that
 * sees many new or returned members at once; as long as a full sync brings such members, another one with a random peer
 * follows. In addition, each eighth ping reads one page, so that a lost update is repaired within a quarter of an hour
 * at 880 members.
 *
 * <p>Invariants: this daemon's own counter only grows; a daemon that receives no packets declares no member dead; the work
 * per packet and per tick doesn't depend on the number of members, apart from a logarithmic lookup; a member changes as
 * {@link MemberUpdates} says. Confined to one thread.
 */
public final class MemberList implements Membership {
    private static final long SUSPICION_NOTICE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final MemberSettings settings;
    private final LocalMember local;
    private final ContactList contacts;
    private final PingTargets pingTargets;
    private final MemberTable table;
    private final PacketFactory packets;
    private final UpdateGossip gossip;
    private final FailureDetector detector;
    private final PingRelay relay;
    private final FullSync fullSync;
    private final MemberUpdates updates;
    private final ContactPings contactPings;

    private long lastCallNanos;

    /**
     * Creates a list that knows only this daemon.
     *
     * @param self this daemon, alive
     * @param seeds configured addresses that are contacted in addition to the VM list; this daemon's own address is
     *     skipped
     */
    public MemberList(
            MemberSettings settings,
            Member self,
            Collection<MemberAddress> seeds,
            RandomGenerator random,
            long nowNanos) {
        this.settings = Objects.requireNonNull(settings, "settings");
        local = new LocalMember(self);
        contacts = new ContactList(seeds, random);
        pingTargets = new PingTargets(random);
        table = new MemberTable(settings, pingTargets);
        UpdateQueue updateQueue = new UpdateQueue();
        packets = new PacketFactory(local, updateQueue);
        gossip = new UpdateGossip(updateQueue, pingTargets, contacts, packets, nowNanos);
        // A random phase spreads the pings of daemons that start together.
        long firstPingNanos = nowNanos + (long) (random.nextDouble() * settings.pingIntervalNanos());
        detector = new FailureDetector(settings, local, pingTargets, packets, firstPingNanos, nowNanos);
        relay = new PingRelay(packets);
        fullSync = new FullSync(pingTargets, packets, nowNanos);
        updates = new MemberUpdates(local, table, gossip, detector, fullSync);
        contactPings = new ContactPings(settings, random, local, contacts, table, packets, nowNanos);
        lastCallNanos = nowNanos;
    }

    @Override
    public List<MemberAction> tick(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        declareExpiredSuspects(nowNanos, actions);
        table.removeExpiredEntries(nowNanos);
        relay.removeExpired(nowNanos);
        probe(nowNanos, actions);
        fullSync.tick(nowNanos, actions);
        contactPings.contactUnknown(pingTargets.isEmpty(), nowNanos, actions);
        gossip.pushUpdates(nowNanos, actions);
        return actions;
    }

    @Override
    public List<MemberAction> receive(MemberPacket packet, long nowNanos) {
        List<MemberAction> actions = new ArrayList<>(4);
        compensatePause(nowNanos);
        Member sender = packet.sender();
        if (local.isSameIncarnation(sender)) {
            return actions;
        }
        detector.recordReceived(nowNanos);
        processSender(sender, packet.beacon(), nowNanos, actions);
        boolean isSyncPage = fullSync.isPage(packet);
        for (Member update : packet.updates()) {
            updates.merge(update, !isSyncPage, nowNanos, actions);
        }
        if (isSyncPage) {
            contactPings.contactDisputed(packet.updates(), nowNanos, actions);
        }
        switch (packet.kind()) {
            case PING -> answerPing(packet, nowNanos, actions);
            case PING_REQUEST -> relayPing(packet, nowNanos, actions);
            case ACK -> handleAck(packet, nowNanos, actions);
            default -> throw new IllegalStateException("unhandled kind " + packet.kind());
        }
        return actions;
    }

    @Override
    public void updateVmList(Collection<MemberAddress> addresses) {
        contacts.updateVmList(addresses);
    }

    @Override
    public void advertise(long tableVersion, long storeConfirmedNanos, boolean storeUnavailable) {
        local.advertise(tableVersion, storeConfirmedNanos, storeUnavailable);
    }

    @Override
    public List<MemberAction> announceLeaving(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        if (local.member().state() == MemberState.ALIVE) {
            updates.announce(MemberState.LEAVING);
            gossip.pushUpdates(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<MemberAction> announceLeft(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        updates.announce(MemberState.LEFT);
        gossip.pushLastUpdate(nowNanos, actions);
        return actions;
    }

    @Override
    public Member self() {
        return local.member();
    }

    @Override
    public Optional<Member> find(IncarnationId incarnation) {
        if (incarnation.equals(self().incarnation())) {
            return Optional.of(self());
        }
        return Optional.ofNullable(table.find(incarnation)).map(entry -> entry.member);
    }

    @Override
    public MemberView view() {
        return updates.view();
    }

    /** Returns how often this daemon refuted an update that it is suspected or dead. */
    public long refutations() {
        return local.refutations();
    }

    /** Returns how many members this daemon itself declared dead. */
    public long deathsDeclared() {
        return updates.deathsDeclared();
    }

    /** Returns how many updates were dropped because too many were waiting to be sent. */
    public long droppedUpdates() {
        return gossip.droppedUpdates();
    }

    /**
     * Detects a pause of this process. Timeouts that elapsed during the pause are no evidence against other members.
     */
    private void compensatePause(long nowNanos) {
        long gapNanos = nowNanos - lastCallNanos;
        lastCallNanos = nowNanos;
        if (gapNanos < settings.pingIntervalNanos()) {
            return;
        }
        detector.resumeAfterPause(gapNanos, nowNanos);
        relay.clear();
        table.postponeSuspicions(gapNanos);
        if (local.member().state() == MemberState.ALIVE) {
            local.announce(MemberState.ALIVE);
            gossip.enqueue(local.member());
        }
    }

    private void processSender(Member sender, TableBeacon beacon, long nowNanos, List<MemberAction> actions) {
        MemberEntry addressHolder = table.findByAddress(sender.address());
        updates.merge(sender, true, nowNanos, actions);
        MemberEntry entry = table.find(sender.incarnation());
        if (entry == null) {
            return;
        }
        if (entry.member.state().isReachable()) {
            replaceAddressHolder(addressHolder, entry, sender.address(), nowNanos, actions);
        }
        entry.member = entry.member.withTableVersion(beacon.tableVersion());
        if (sender.state().isReachable()) {
            notifyIfSuspected(entry, sender.address(), nowNanos, actions);
        }
        actions.add(new MemberAction.ReportBeacon(entry.member, beacon));
    }

    /**
     * Declares the member dead that was known at the address of a sender. Only one process uses an address at a time,
     * so that member must have ended. If it is alive and the sender's packet was delayed, it refutes its death.
     */
    private void replaceAddressHolder(
            MemberEntry holder, MemberEntry sender, MemberAddress address, long nowNanos, List<MemberAction> actions) {
        if (holder != null && holder != sender && holder.member.state().isReachable()) {
            updates.declareDead(holder, nowNanos, actions);
            table.assignAddress(address, sender);
        }
    }

    private void notifyIfSuspected(
            MemberEntry entry, MemberAddress address, long nowNanos, List<MemberAction> actions) {
        boolean suspected = entry.member.state() == MemberState.SUSPECT || entry.member.state() == MemberState.DEAD;
        if (suspected && nowNanos - entry.suspicionNoticeAllowedNanos >= 0) {
            entry.suspicionNoticeAllowedNanos = nowNanos + SUSPICION_NOTICE_INTERVAL_NANOS;
            actions.add(packets.suspicionNotice(address, entry.member, nowNanos));
        }
    }

    private void declareExpiredSuspects(long nowNanos, List<MemberAction> actions) {
        if (detector.isCutOff(nowNanos)) {
            return;
        }
        for (MemberEntry entry : table.removeExpiredSuspects(nowNanos)) {
            updates.declareDead(entry, nowNanos, actions);
        }
    }

    private void probe(long nowNanos, List<MemberAction> actions) {
        detector.requestIndirectPings(nowNanos, actions);
        if (detector.isPingDue(nowNanos)) {
            detector.endProbe(nowNanos).ifPresent(entry -> updates.suspect(entry, nowNanos, actions));
            detector.pingNext(nowNanos, actions);
        }
    }

    private void answerPing(MemberPacket ping, long nowNanos, List<MemberAction> actions) {
        if (ping.target() == 0) {
            actions.add(packets.ack(ping.sender().address(), ping.sequence(), nowNanos));
        } else {
            actions.add(packets.page(ping, table.entriesFrom(new IncarnationId(ping.target())), nowNanos));
        }
    }

    private void relayPing(MemberPacket request, long nowNanos, List<MemberAction> actions) {
        MemberEntry target = table.find(new IncarnationId(request.target()));
        if (target != null) {
            relay.relayPing(request, target.member, nowNanos, actions);
        }
    }

    private void handleAck(MemberPacket ack, long nowNanos, List<MemberAction> actions) {
        if (detector.isAnswer(ack)) {
            detector.handleAck(ack, actions);
        } else if (fullSync.isPage(ack)) {
            fullSync.handlePage(ack, nowNanos, actions);
        } else if (ack.sequence() != 0) {
            relay.handleAck(ack, nowNanos, actions);
        }
    }
}
