package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.state.id.IncarnationId;

/**
 * SWIM-style failure detection and membership.
 *
 * <p>Each interval one member is pinged. A missing acknowledgement causes pings through three other members in different
 * zones, preferably neither this daemon's nor the target's, so that one cut direction between two zones raises no
 * suspicion. A suspect that doesn't refute in time is declared dead. Every update is spread a number of times that
 * grows with the logarithm of the fleet: fresh ones are pushed to three members at once under a rate limit, then they
 * ride on pings and acknowledgements.
 *
 * <p>A new daemon, and one that sees many new or returned members at once, reads the whole list of one peer page by
 * page, and that of another peer as long as this brings members. Each eighth ping reads one more page, so that a lost
 * update is repaired within a quarter of an hour at 880 members.
 *
 * <p>Invariants: this daemon's own counter only grows; an incarnation that announced {@code LEAVING} never becomes live
 * again; {@code LEFT} is final; a daemon that hears nobody declares nobody dead; the work per packet and per tick
 * doesn't depend on the number of members, apart from a logarithmic look-up. Confined to one thread.
 */
public final class MemberList implements Membership {
    private static final long SYNC_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long SUSPICION_NOTICE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long RELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MemberSettings settings;
    private final ContactList contacts;
    private final RandomGenerator random;
    private final TreeMap<IncarnationId, MemberEntry> entries = new TreeMap<>();
    private final Map<MemberAddress, MemberEntry> byAddress = new HashMap<>();
    private final PingRing ring;
    /** In the order of their deadlines, like the dead members, so that a tick looks only at those that are due. */
    private final Map<IncarnationId, MemberEntry> suspects = new LinkedHashMap<>();

    private final Map<IncarnationId, MemberEntry> deadMembers = new LinkedHashMap<>();
    private final Map<Long, Relay> relays = new HashMap<>();
    private final UpdateQueue queue = new UpdateQueue();
    private Member self;
    private MemberView view;
    private long sequence;

    private Probe probe;
    private int pingsSent;
    private long repairCursor = 1;
    private Sync sync;
    private boolean synced;
    private boolean syncDue;
    private long syncAllowedNanos;
    private long mergeWindowEndNanos;
    private int newInWindow;

    private long lastObservedNanos;
    private long lastHeardNanos;
    private long nextPingNanos;
    private long nextContactNanos;
    private boolean pushDue;
    private double pushTokens = MemberSettings.PUSH_BURST;
    private long pushRefilledNanos;

    private long ownTableVersion;
    private long storeConfirmedNanos;
    private boolean storeConfirmed;
    private boolean storeAway;

    private long refutations;
    private long deathsDeclared;

    /**
     * Creates a list that knows only this daemon.
     *
     * @param self this daemon, alive
     * @param seeds addresses of first contacts from the settings; this daemon's own address is skipped
     */
    public MemberList(
            MemberSettings settings,
            Member self,
            Collection<MemberAddress> seeds,
            RandomGenerator random,
            long nowNanos) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        this.ring = new PingRing(random);
        this.contacts = new ContactList(seeds, random);
        if (self.state() != MemberState.ALIVE) {
            throw new IllegalArgumentException("a daemon starts alive");
        }
        lastObservedNanos = nowNanos;
        lastHeardNanos = nowNanos;
        pushRefilledNanos = nowNanos;
        syncAllowedNanos = nowNanos;
        mergeWindowEndNanos = nowNanos;
        nextContactNanos = nowNanos;
        // A random phase spreads the pings of daemons that start together.
        nextPingNanos = nowNanos + (long) (random.nextDouble() * settings.pingIntervalNanos());
    }

    @Override
    public List<MemberAction> tick(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        observe(nowNanos);
        expireSuspects(nowNanos, actions);
        forget(nowNanos);
        continueProbe(nowNanos, actions);
        continueSync(nowNanos, actions);
        contact(nowNanos, actions);
        push(nowNanos, actions);
        return actions;
    }

    @Override
    public List<MemberAction> receive(MemberPacket packet, long nowNanos) {
        List<MemberAction> actions = new ArrayList<>(4);
        observe(nowNanos);
        Member sender = packet.sender();
        if (sender.incarnation().equals(self.incarnation())) {
            return actions;
        }
        lastHeardNanos = nowNanos;
        hearDirectly(sender, packet.beacon(), nowNanos, actions);
        boolean page = sync != null && packet.kind() == MemberPacket.Kind.ACK && packet.sequence() == sync.sequence;
        for (Member update : packet.updates()) {
            merge(update, !page, nowNanos, actions);
        }
        if (page) {
            contactDisputed(packet.updates(), actions);
        }
        switch (packet.kind()) {
            case PING -> answer(packet, actions);
            case PING_REQUEST -> relay(packet, nowNanos, actions);
            case ACK -> acknowledge(packet, nowNanos, actions);
            default -> throw new IllegalStateException("unhandled kind " + packet.kind());
        }
        return actions;
    }

    @Override
    public void listed(Collection<MemberAddress> addresses) {
        contacts.updateListed(addresses);
    }

    @Override
    public void advertise(long tableVersion, long newStoreConfirmedNanos, boolean newStoreAway) {
        ownTableVersion = tableVersion;
        self = self.withTableVersion(tableVersion);
        storeConfirmedNanos = newStoreConfirmedNanos;
        storeConfirmed = true;
        storeAway = newStoreAway;
    }

    @Override
    public List<MemberAction> announceLeaving(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        observe(nowNanos);
        if (self.state() == MemberState.ALIVE) {
            self = self.with(MemberState.LEAVING, self.counter() + 1);
            view = null;
            enqueue(self);
            push(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<MemberAction> announceLeft(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        observe(nowNanos);
        self = self.with(MemberState.LEFT, self.counter() + 1);
        view = null;
        enqueue(self);
        // No later packet can repeat this one, so it goes to more members than other updates.
        for (MemberEntry entry : ring.pick(2 * MemberSettings.PUSH_FANOUT, null)) {
            actions.add(send(entry.member.address(), MemberPacket.Kind.ACK, 0, 0, 0));
        }
        return actions;
    }

    @Override
    public Member self() {
        return self;
    }

    @Override
    public Optional<Member> find(IncarnationId incarnation) {
        if (incarnation.equals(self.incarnation())) {
            return Optional.of(self);
        }
        return Optional.ofNullable(entries.get(incarnation)).map(entry -> entry.member);
    }

    @Override
    public MemberView view() {
        if (view == null) {
            List<Member> members = new ArrayList<>(ring.size() + 1);
            // The entries are sorted already, which makes the sort of the view cheap.
            for (MemberEntry entry : entries.values()) {
                if (entry.member.state().isReachable()) {
                    members.add(entry.member);
                }
            }
            members.add(self);
            view = new MemberView(members);
        }
        return view;
    }

    /** Returns how often this daemon refuted a suspicion or its own death. */
    public long refutations() {
        return refutations;
    }

    /** Returns how many members this daemon itself declared dead. */
    public long deathsDeclared() {
        return deathsDeclared;
    }

    /** Returns how many updates were dropped because too many waited to be spread. */
    public long droppedUpdates() {
        return queue.droppedUpdates();
    }

    /** Detects a pause of this process: what fell due meanwhile says nothing about the other members. */
    private void observe(long nowNanos) {
        long gapNanos = nowNanos - lastObservedNanos;
        lastObservedNanos = nowNanos;
        if (gapNanos < settings.pingIntervalNanos()) {
            return;
        }
        probe = null;
        relays.clear();
        nextPingNanos = nowNanos;
        lastHeardNanos += gapNanos;
        for (MemberEntry suspect : suspects.values()) {
            suspect.deadlineNanos += gapNanos;
        }
        if (self.state() == MemberState.ALIVE) {
            self = self.with(MemberState.ALIVE, self.counter() + 1);
            enqueue(self);
        }
    }

    private void hearDirectly(Member sender, TableBeacon beacon, long nowNanos, List<MemberAction> actions) {
        MemberEntry other = byAddress.get(sender.address());
        merge(sender, true, nowNanos, actions);
        MemberEntry entry = entries.get(sender.incarnation());
        if (entry == null) {
            return;
        }
        if (entry.member.state().isReachable()) {
            if (other != null && other != entry && other.member.state().isReachable()) {
                // One process holds an address at a time. If the packet was late, the other one refutes its death.
                declareDead(other, nowNanos, actions);
                byAddress.put(sender.address(), entry);
            }
        }
        entry.member = entry.member.withTableVersion(beacon.tableVersion());
        boolean suspected = entry.member.state() == MemberState.SUSPECT || entry.member.state() == MemberState.DEAD;
        if (suspected && sender.state().isReachable() && nowNanos - entry.suspicionNoticeAllowedNanos >= 0) {
            entry.suspicionNoticeAllowedNanos = nowNanos + SUSPICION_NOTICE_INTERVAL_NANOS;
            actions.add(new MemberAction.SendPacket(
                    sender.address(),
                    new MemberPacket(MemberPacket.Kind.ACK, 0, self, 0, 0, beacon(), List.of(entry.member))));
        }
        actions.add(new MemberAction.ReportBeacon(entry.member, beacon));
    }

    private void merge(Member update, boolean spread, long nowNanos, List<MemberAction> actions) {
        if (update.incarnation().equals(self.incarnation())) {
            refute(update);
            return;
        }
        MemberEntry entry = entries.get(update.incarnation());
        if (entry == null) {
            entry = new MemberEntry(update, nowNanos);
            entries.put(update.incarnation(), entry);
            if (update.state().isReachable()) {
                addReachable(entry);
                actions.add(new MemberAction.ChangeMember(update, null));
                countNew(update, spread, nowNanos);
                if (spread) {
                    enqueue(update);
                }
                watchSuspect(entry, nowNanos);
            } else {
                // The end of a member that was not known is remembered but not spread, so that daemons which
                // forget it at different times don't pass it around forever.
                recordDead(entry, nowNanos);
            }
            return;
        }
        Member before = entry.member;
        if (!update.supersedes(before)) {
            return;
        }
        if (before.state() == MemberState.LEAVING && update.state().isLive()) {
            // A pause of the member raised its counter before the announcement reached it; it is still leaving.
            return;
        }
        apply(entry, update, spread, nowNanos, actions);
        if (spread) {
            enqueue(update);
        }
    }

    private void refute(Member update) {
        if (self.state() == MemberState.LEFT) {
            return;
        }
        boolean suspected = update.state() == MemberState.SUSPECT || update.state() == MemberState.DEAD;
        if (suspected && update.counter() >= self.counter()) {
            self = self.with(self.state(), update.counter() + 1);
            refutations++;
            enqueue(self);
        } else if (update.counter() > self.counter()) {
            self = self.with(self.state(), update.counter());
        }
    }

    private void apply(MemberEntry entry, Member update, boolean spread, long nowNanos, List<MemberAction> actions) {
        Member before = entry.member;
        entry.member = update.withTableVersion(Math.max(update.tableVersion(), before.tableVersion()));
        suspects.remove(update.incarnation());
        if (update.state().isReachable()) {
            if (!before.state().isReachable()) {
                deadMembers.remove(update.incarnation());
                addReachable(entry);
                countNew(update, spread, nowNanos);
            }
            watchSuspect(entry, nowNanos);
        } else {
            if (before.state().isReachable()) {
                removeReachable(entry);
            }
            recordDead(entry, nowNanos);
        }
        if (before.state() != update.state()) {
            view = null;
            actions.add(new MemberAction.ChangeMember(entry.member, before.state()));
        }
    }

    private void watchSuspect(MemberEntry entry, long nowNanos) {
        if (entry.member.state() == MemberState.SUSPECT) {
            entry.deadlineNanos = nowNanos + settings.suspicionNanos();
            suspects.put(entry.member.incarnation(), entry);
        }
    }

    private void recordDead(MemberEntry entry, long nowNanos) {
        entry.deadlineNanos = nowNanos + settings.forgetNanos();
        deadMembers.remove(entry.member.incarnation());
        deadMembers.put(entry.member.incarnation(), entry);
    }

    private void suspect(MemberEntry entry, long nowNanos, List<MemberAction> actions) {
        if (entry.member.state() == MemberState.ALIVE) {
            Member update = entry.member.with(MemberState.SUSPECT, entry.member.counter());
            apply(entry, update, true, nowNanos, actions);
            enqueue(update);
        } else if (entry.member.state() == MemberState.LEAVING && !suspects.containsKey(entry.member.incarnation())) {
            // Spreading a suspicion would hide that the member is leaving.
            entry.deadlineNanos = nowNanos + settings.suspicionNanos();
            suspects.put(entry.member.incarnation(), entry);
        }
    }

    private void declareDead(MemberEntry entry, long nowNanos, List<MemberAction> actions) {
        Member update = entry.member.with(MemberState.DEAD, entry.member.counter());
        apply(entry, update, true, nowNanos, actions);
        enqueue(update);
        deathsDeclared++;
    }

    private void expireSuspects(long nowNanos, List<MemberAction> actions) {
        if (suspects.isEmpty() || isDeaf(nowNanos)) {
            return;
        }
        List<MemberEntry> due = null;
        for (MemberEntry suspect : suspects.values()) {
            if (nowNanos - suspect.deadlineNanos < 0) {
                break;
            }
            due = due == null ? new ArrayList<>() : due;
            due.add(suspect);
        }
        if (due != null) {
            for (MemberEntry entry : due) {
                declareDead(entry, nowNanos, actions);
            }
        }
    }

    /** A daemon that hears nobody is itself cut off, so its missing acknowledgements are no evidence. */
    private boolean isDeaf(long nowNanos) {
        return nowNanos - lastHeardNanos >= 2 * settings.pingIntervalNanos();
    }

    private void forget(long nowNanos) {
        if (!deadMembers.isEmpty()) {
            Iterator<MemberEntry> dead = deadMembers.values().iterator();
            while (dead.hasNext()) {
                MemberEntry entry = dead.next();
                if (nowNanos - entry.deadlineNanos < 0) {
                    break;
                }
                dead.remove();
                entries.remove(entry.member.incarnation());
            }
        }
        if (!relays.isEmpty()) {
            relays.values().removeIf(relay -> nowNanos - relay.deadlineNanos >= 0);
        }
    }

    private void continueProbe(long nowNanos, List<MemberAction> actions) {
        if (probe != null && !probe.acknowledged && !probe.indirect) {
            if (nowNanos - probe.sentNanos >= settings.ackTimeoutNanos()) {
                probe.indirect = true;
                for (MemberEntry helper : ring.pickHelpers(probe.entry, self.zone())) {
                    long target = probe.entry.member.incarnation().value();
                    actions.add(
                            send(helper.member.address(), MemberPacket.Kind.PING_REQUEST, probe.sequence, target, 0));
                }
            }
        }
        if (nowNanos - nextPingNanos < 0) {
            return;
        }
        if (probe != null && !probe.acknowledged && !isDeaf(nowNanos)) {
            suspect(probe.entry, nowNanos, actions);
        }
        probe = null;
        nextPingNanos += settings.pingIntervalNanos();
        if (nowNanos - nextPingNanos >= 0) {
            nextPingNanos = nowNanos + settings.pingIntervalNanos();
        }
        MemberEntry target = ring.next();
        if (target != null) {
            boolean repair = ++pingsSent % MemberSettings.REPAIR_PERIOD == 0;
            probe = new Probe(target, ++sequence, nowNanos, repair);
            actions.add(send(
                    target.member.address(),
                    MemberPacket.Kind.PING,
                    probe.sequence,
                    repair ? repairCursor : 0,
                    target.member.incarnation().value()));
        }
    }

    private void continueSync(long nowNanos, List<MemberAction> actions) {
        if (sync == null && syncDue && nowNanos - syncAllowedNanos >= 0) {
            syncDue = false;
            ring.pick(1, null).forEach(entry -> startSync(entry.member.address(), nowNanos));
        }
        if (sync == null || nowNanos - sync.sentNanos < SYNC_RETRY_NANOS) {
            return;
        }
        if (++sync.failures > 2) {
            List<MemberEntry> others = ring.pick(1, null);
            if (others.isEmpty()) {
                sync = null;
                synced = false;
                return;
            }
            sync.partner = others.get(0).member.address();
            sync.failures = 0;
        }
        requestPage(nowNanos, actions);
    }

    private void startSync(MemberAddress partner, long nowNanos) {
        if (sync == null) {
            sync = new Sync(partner);
            // The first page is requested at the next tick.
            sync.sentNanos = nowNanos - SYNC_RETRY_NANOS;
            sync.failures = -1;
            syncAllowedNanos = nowNanos + MemberSettings.SYNC_INTERVAL_NANOS;
            newInWindow = 0;
        }
    }

    private void requestPage(long nowNanos, List<MemberAction> actions) {
        sync.sequence = ++sequence;
        sync.sentNanos = nowNanos;
        actions.add(send(sync.partner, MemberPacket.Kind.PING, sync.sequence, sync.cursor, 0));
    }

    /**
     * Counts members that are new or back. Many at once mean that two parts of the fleet have met; gossip alone, which
     * has room for 8 updates per packet, takes minutes to repeat them all. A page that brings some means that the list
     * of its sender was ahead, and perhaps incomplete too, so another one is read.
     */
    private void countNew(Member update, boolean spread, long nowNanos) {
        view = null;
        if (!synced) {
            synced = true;
            startSync(update.address(), nowNanos);
            return;
        }
        if (!spread) {
            syncDue = true;
            return;
        }
        if (nowNanos - mergeWindowEndNanos >= 0) {
            mergeWindowEndNanos = nowNanos + MemberSettings.MERGE_WINDOW_NANOS;
            newInWindow = 0;
        }
        if (++newInWindow >= MemberSettings.MERGE_THRESHOLD) {
            syncDue = true;
        }
    }

    /**
     * Contacts one member of a page that is live there and dead here. Only the member itself can settle that, by a
     * larger counter; one per page is enough for many readers to reach all such members without a burst.
     */
    private void contactDisputed(List<Member> page, List<MemberAction> actions) {
        List<Member> disputed = new ArrayList<>();
        for (Member update : page) {
            MemberEntry entry = entries.get(update.incarnation());
            if (entry != null
                    && entry.member.state() == MemberState.DEAD
                    && update.state().isLive()) {
                disputed.add(update);
            }
        }
        if (!disputed.isEmpty()) {
            MemberAddress address =
                    disputed.get(random.nextInt(disputed.size())).address();
            actions.add(send(address, MemberPacket.Kind.PING, ++sequence, 0, 0));
        }
    }

    private void contact(long nowNanos, List<MemberAction> actions) {
        if (nowNanos - nextContactNanos < 0 || contacts.isEmpty()) {
            return;
        }
        boolean alone = ring.isEmpty();
        nextContactNanos = nowNanos + (alone ? settings.pingIntervalNanos() : settings.contactIntervalNanos());
        int wanted = alone ? MemberSettings.HELPERS : 1;
        for (MemberAddress address :
                contacts.next(wanted, other -> !other.equals(self.address()) && !byAddress.containsKey(other))) {
            actions.add(send(address, MemberPacket.Kind.PING, ++sequence, 0, 0));
        }
    }

    private void push(long nowNanos, List<MemberAction> actions) {
        double seconds = (nowNanos - pushRefilledNanos) / 1e9;
        pushRefilledNanos = nowNanos;
        pushTokens = Math.min(MemberSettings.PUSH_BURST, pushTokens + seconds * MemberSettings.PUSH_PER_SECOND);
        if (!pushDue || pushTokens < 1) {
            return;
        }
        pushDue = false;
        for (MemberEntry entry : ring.pick((int) Math.min(MemberSettings.PUSH_FANOUT, pushTokens), null)) {
            pushTokens--;
            actions.add(send(entry.member.address(), MemberPacket.Kind.ACK, 0, 0, 0));
        }
    }

    private void answer(MemberPacket ping, List<MemberAction> actions) {
        if (ping.target() == 0) {
            actions.add(send(ping.sender().address(), MemberPacket.Kind.ACK, ping.sequence(), 0, 0));
            return;
        }
        List<Member> page = new ArrayList<>(MemberPacket.UPDATE_LIMIT);
        int room = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(ping.sequence(), self, ping.target(), 0, beacon());
        long next = 0;
        for (MemberEntry entry :
                entries.tailMap(new IncarnationId(ping.target()), true).values()) {
            if (!entry.member.state().isReachable()) {
                continue;
            }
            int size = EncodedSize.ofMessage(entry.member.encodedSizeBytes());
            if (page.size() == MemberPacket.UPDATE_LIMIT || size > room) {
                next = entry.member.incarnation().value();
                break;
            }
            room -= size;
            page.add(entry.member);
        }
        actions.add(new MemberAction.SendPacket(
                ping.sender().address(),
                new MemberPacket(MemberPacket.Kind.ACK, ping.sequence(), self, next, 0, beacon(), page)));
    }

    private void relay(MemberPacket request, long nowNanos, List<MemberAction> actions) {
        MemberEntry target = entries.get(new IncarnationId(request.target()));
        if (target == null) {
            return;
        }
        long relaySequence = ++sequence;
        relays.put(
                relaySequence,
                new Relay(request.sender().address(), request.sequence(), request.target(), nowNanos + RELAY_NANOS));
        actions.add(send(target.member.address(), MemberPacket.Kind.PING, relaySequence, 0, request.target()));
    }

    private void acknowledge(MemberPacket ack, long nowNanos, List<MemberAction> actions) {
        long sender = ack.sender().incarnation().value();
        if (probe != null && probe.sequence == ack.sequence()) {
            long target = probe.entry.member.incarnation().value();
            boolean direct = sender == target;
            if (!probe.acknowledged && (direct || ack.target() == target)) {
                probe.acknowledged = true;
                actions.add(new MemberAction.ExtendActivity(probe.sentNanos));
            }
            if (direct && probe.repair) {
                repairCursor = ack.target() == 0 ? 1 : ack.target();
            }
        } else if (sync != null && sync.sequence == ack.sequence()) {
            sync.failures = 0;
            if (ack.target() == 0) {
                sync = null;
            } else {
                sync.cursor = ack.target();
                requestPage(nowNanos, actions);
            }
        } else if (ack.sequence() != 0) {
            Relay relay = relays.get(ack.sequence());
            if (relay != null && relay.target == sender) {
                relays.remove(ack.sequence());
                actions.add(send(relay.origin, MemberPacket.Kind.ACK, relay.originSequence, sender, 0));
            }
        }
    }

    private MemberAction send(
            MemberAddress to, MemberPacket.Kind kind, long packetSequence, long target, long expected) {
        TableBeacon beacon = beacon();
        int room = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(packetSequence, self, target, expected, beacon);
        List<Member> updates = queue.take(MemberPacket.UPDATE_LIMIT, room);
        return new MemberAction.SendPacket(
                to, new MemberPacket(kind, packetSequence, self, target, expected, beacon, updates));
    }

    private TableBeacon beacon() {
        if (!storeConfirmed) {
            return new TableBeacon(ownTableVersion, TableBeacon.NEVER_CONFIRMED, storeAway);
        }
        // Rounding up and 2 ms for the way keep the age from shrinking as it passes from daemon to daemon.
        long ageMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastObservedNanos - storeConfirmedNanos)) + 2;
        return new TableBeacon(ownTableVersion, (int) Math.min(ageMillis, TableBeacon.NEVER_CONFIRMED), storeAway);
    }

    private void enqueue(Member update) {
        // A daemon that has just started knows few members, but the VM list tells how many there will be.
        int bits = 32 - Integer.numberOfLeadingZeros(Math.max(ring.size(), contacts.listedSize()) + 1);
        queue.add(update, 2 * bits);
        pushDue = true;
    }

    private void addReachable(MemberEntry entry) {
        ring.add(entry);
        byAddress.put(entry.member.address(), entry);
    }

    private void removeReachable(MemberEntry entry) {
        ring.remove(entry);
        byAddress.remove(entry.member.address(), entry);
        if (probe != null && probe.entry == entry) {
            probe = null;
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

    private static final class Sync {
        private MemberAddress partner;
        private long cursor = 1;
        /** Negative until the first page is requested; pushed updates have sequence zero and are no page. */
        private long sequence = -1;

        private long sentNanos;
        private int failures;

        Sync(MemberAddress partner) {
            this.partner = partner;
        }
    }

    private record Relay(MemberAddress origin, long originSequence, long target, long deadlineNanos) {}
}
