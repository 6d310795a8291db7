package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.IncarnationId;

/**
 * A naive membership for differential tests and measurements. It pings every member in each interval, declares a member
 * dead that doesn't acknowledge for two intervals, lets the update received last win, and never refutes an update.
 * Confined to one thread.
 */
public final class NaiveMemberList implements Membership {
    private final MemberSettings settings;
    private final List<MemberAddress> seeds;
    private final RandomGenerator random;
    private final Map<IncarnationId, Member> members = new HashMap<>();
    private final Map<IncarnationId, Long> lastAckNanos = new HashMap<>();
    private List<MemberAddress> vmListAddresses = List.of();
    private Member self;
    private MemberView view;
    private long nextPingNanos;
    private long nextContactNanos;
    private long sequence;
    private TableBeacon beacon = new TableBeacon(0, TableBeacon.NEVER_CONFIRMED, false);

    /** Creates a list that knows only this daemon. */
    public NaiveMemberList(
            MemberSettings settings,
            Member self,
            Collection<MemberAddress> seeds,
            RandomGenerator random,
            long nowNanos) {
        this.settings = settings;
        this.self = self;
        this.seeds = List.copyOf(seeds);
        this.random = random;
        nextPingNanos = nowNanos + (long) (random.nextDouble() * settings.pingIntervalNanos());
        nextContactNanos = nowNanos;
    }

    @Override
    public List<MemberAction> tick(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        if (nowNanos - nextContactNanos >= 0) {
            nextContactNanos = nowNanos + settings.contactIntervalNanos();
            List<MemberAddress> addresses = new ArrayList<>(seeds);
            addresses.addAll(vmListAddresses);
            for (MemberAddress address : addresses) {
                boolean known = members.values().stream()
                        .anyMatch(member ->
                                member.state().isLive() && member.address().equals(address));
                if (!known && !address.equals(self.address())) {
                    actions.add(new MemberAction.SendPacket(address, packet(MemberPacket.Kind.PING, ++sequence)));
                }
            }
        }
        if (nowNanos - nextPingNanos >= 0) {
            nextPingNanos = nowNanos + settings.pingIntervalNanos();
            for (Member member : List.copyOf(members.values())) {
                if (!member.state().isReachable()) {
                    continue;
                }
                // A member is dead after two intervals without an acknowledgement.
                if (nowNanos - lastAckNanos.getOrDefault(member.incarnation(), nowNanos)
                        >= 2 * settings.pingIntervalNanos()) {
                    applyUpdate(member.with(MemberState.DEAD, member.counter()), actions);
                    continue;
                }
                actions.add(new MemberAction.SendPacket(member.address(), packet(MemberPacket.Kind.PING, ++sequence)));
            }
        }
        return actions;
    }

    @Override
    public List<MemberAction> receive(MemberPacket packet, long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        Member sender = packet.sender();
        if (sender.incarnation().equals(self.incarnation())) {
            return actions;
        }
        applyUpdate(sender, actions);
        lastAckNanos.putIfAbsent(sender.incarnation(), nowNanos);
        for (Member update : packet.updates()) {
            if (!update.incarnation().equals(self.incarnation())) {
                applyUpdate(update, actions);
                lastAckNanos.putIfAbsent(update.incarnation(), nowNanos);
            }
        }
        actions.add(new MemberAction.ReportBeacon(sender, packet.beacon()));
        if (packet.kind() == MemberPacket.Kind.PING) {
            actions.add(
                    new MemberAction.SendPacket(sender.address(), packet(MemberPacket.Kind.ACK, packet.sequence())));
        } else {
            lastAckNanos.put(sender.incarnation(), nowNanos);
            actions.add(new MemberAction.ExtendActivity(nowNanos));
        }
        return actions;
    }

    private void applyUpdate(Member update, List<MemberAction> actions) {
        Member previous = members.put(update.incarnation(), update);
        if (previous == null || previous.state() != update.state()) {
            view = null;
            actions.add(new MemberAction.ChangeMember(update, previous == null ? null : previous.state()));
        }
    }

    private MemberPacket packet(MemberPacket.Kind kind, long packetSequence) {
        List<Member> known = new ArrayList<>(members.values());
        List<Member> updates = new ArrayList<>();
        for (int i = 0; i < MemberPacket.UPDATE_LIMIT && !known.isEmpty(); i++) {
            updates.add(known.remove(random.nextInt(known.size())));
        }
        return new MemberPacket(kind, packetSequence, self, 0, 0, beacon, updates);
    }

    @Override
    public void updateVmList(Collection<MemberAddress> addresses) {
        vmListAddresses = List.copyOf(addresses);
    }

    @Override
    public void advertise(long tableVersion, long storeConfirmedNanos, boolean storeUnavailable) {
        beacon = new TableBeacon(tableVersion, 0, storeUnavailable);
        self = self.withTableVersion(tableVersion);
    }

    @Override
    public List<MemberAction> announceLeaving(long nowNanos) {
        self = self.with(MemberState.LEAVING, self.counter());
        view = null;
        return List.of();
    }

    @Override
    public List<MemberAction> announceLeft(long nowNanos) {
        self = self.with(MemberState.LEFT, self.counter());
        view = null;
        return List.of();
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public Optional<Member> find(IncarnationId incarnation) {
        return incarnation.equals(self.incarnation())
                ? Optional.of(self)
                : Optional.ofNullable(members.get(incarnation));
    }

    @Override
    public MemberView view() {
        if (view == null) {
            List<Member> all = new ArrayList<>(members.values());
            all.add(self);
            view = new MemberView(all);
        }
        return view;
    }
}
