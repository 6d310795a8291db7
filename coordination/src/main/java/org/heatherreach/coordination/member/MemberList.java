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
 * <p>Invariants: this daemon's own counter only grows; an incarnation that announced {@code LEAVING} never becomes live
 * again; {@code LEFT} is final; a daemon that receives no packets declares no member dead; the work per packet and per
 * tick doesn't depend on the number of members, apart from a logarithmic lookup. Confined to one thread.
 */
public final class MemberList implements Membership {
    private static final long SYNC_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long SUSPICION_NOTICE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long RELAY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final MemberSettings settings;
    private final ContactList contacts;
    private final RandomGenerator random;
    private final TreeMap<IncarnationId, MemberEntry> entries = new TreeMap<>();
    private final Map<MemberAddress, MemberEntry> byAddress = new HashMap<>();
    private final PingTargets pingTargets;
    /** Ordered by deadline, like {@link #deadMembers}, so that a tick examines only the entries that are due. */
    private final Map<IncarnationId, MemberEntry> suspects = new LinkedHashMap<>();

    /** The members that are dead or have left; their entries are removed at the deadline. */
    private final Map<IncarnationId, MemberEntry> deadMembers = new LinkedHashMap<>();

    private final Map<Long, PendingRelay> pendingRelays = new HashMap<>();
    private final UpdateQueue updateQueue = new UpdateQueue();
    private Member self;
    private MemberView view;
    private long sequence;

    private Probe probe;
    private int pingsSent;
    private long repairPageStart = 1;
    private Sync sync;
    private boolean initialSyncStarted;
    private boolean syncDue;
    private long syncAllowedNanos;
    private long massJoinWindowEndNanos;
    private int newMembersInWindow;

    private long lastCallNanos;
    private long lastReceivedNanos;
    private long nextPingNanos;
    private long nextContactNanos;
    private boolean pushDue;
    private double pushTokens = MemberSettings.PUSH_BURST;
    private long pushRefilledNanos;

    private long ownTableVersion;
    private long storeConfirmedNanos;
    private boolean storeConfirmed;
    private boolean storeUnavailable;

    private long refutations;
    private long deathsDeclared;

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
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        this.pingTargets = new PingTargets(random);
        this.contacts = new ContactList(seeds, random);
        if (self.state() != MemberState.ALIVE) {
            throw new IllegalArgumentException("the initial state of this daemon must be ALIVE");
        }
        lastCallNanos = nowNanos;
        lastReceivedNanos = nowNanos;
        pushRefilledNanos = nowNanos;
        syncAllowedNanos = nowNanos;
        massJoinWindowEndNanos = nowNanos;
        nextContactNanos = nowNanos;
        // A random phase spreads the pings of daemons that start together.
        nextPingNanos = nowNanos + (long) (random.nextDouble() * settings.pingIntervalNanos());
    }

    @Override
    public List<MemberAction> tick(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        expireSuspects(nowNanos, actions);
        removeExpired(nowNanos);
        continueProbe(nowNanos, actions);
        continueSync(nowNanos, actions);
        contactUnknownAddresses(nowNanos, actions);
        pushUpdates(nowNanos, actions);
        return actions;
    }

    @Override
    public List<MemberAction> receive(MemberPacket packet, long nowNanos) {
        List<MemberAction> actions = new ArrayList<>(4);
        compensatePause(nowNanos);
        Member sender = packet.sender();
        if (sender.incarnation().equals(self.incarnation())) {
            return actions;
        }
        lastReceivedNanos = nowNanos;
        processSender(sender, packet.beacon(), nowNanos, actions);
        boolean isSyncPage =
                sync != null && packet.kind() == MemberPacket.Kind.ACK && packet.sequence() == sync.sequence;
        for (Member update : packet.updates()) {
            merge(update, !isSyncPage, nowNanos, actions);
        }
        if (isSyncPage) {
            contactDisputedMember(packet.updates(), actions);
        }
        switch (packet.kind()) {
            case PING -> answerPing(packet, actions);
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
    public void advertise(long tableVersion, long newStoreConfirmedNanos, boolean newStoreUnavailable) {
        ownTableVersion = tableVersion;
        self = self.withTableVersion(tableVersion);
        storeConfirmedNanos = newStoreConfirmedNanos;
        storeConfirmed = true;
        storeUnavailable = newStoreUnavailable;
    }

    @Override
    public List<MemberAction> announceLeaving(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        if (self.state() == MemberState.ALIVE) {
            self = self.with(MemberState.LEAVING, self.counter() + 1);
            view = null;
            enqueue(self);
            pushUpdates(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<MemberAction> announceLeft(long nowNanos) {
        List<MemberAction> actions = new ArrayList<>();
        compensatePause(nowNanos);
        self = self.with(MemberState.LEFT, self.counter() + 1);
        view = null;
        enqueue(self);
        // This process sends no later packets that could repeat the update, so more members receive it at once.
        for (MemberEntry entry : pingTargets.pickRandom(2 * MemberSettings.PUSH_FANOUT, null)) {
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
            List<Member> members = new ArrayList<>(pingTargets.size() + 1);
            // The entries are already in the order of the view, which makes its sort cheap.
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

    /** Returns how often this daemon refuted an update that it is suspected or dead. */
    public long refutations() {
        return refutations;
    }

    /** Returns how many members this daemon itself declared dead. */
    public long deathsDeclared() {
        return deathsDeclared;
    }

    /** Returns how many updates were dropped because too many were waiting to be sent. */
    public long droppedUpdates() {
        return updateQueue.droppedUpdates();
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
        probe = null;
        pendingRelays.clear();
        nextPingNanos = nowNanos;
        lastReceivedNanos += gapNanos;
        for (MemberEntry suspect : suspects.values()) {
            suspect.deadlineNanos += gapNanos;
        }
        if (self.state() == MemberState.ALIVE) {
            self = self.with(MemberState.ALIVE, self.counter() + 1);
            enqueue(self);
        }
    }

    private void processSender(Member sender, TableBeacon beacon, long nowNanos, List<MemberAction> actions) {
        MemberEntry addressHolder = byAddress.get(sender.address());
        merge(sender, true, nowNanos, actions);
        MemberEntry entry = entries.get(sender.incarnation());
        if (entry == null) {
            return;
        }
        if (entry.member.state().isReachable()) {
            if (addressHolder != null
                    && addressHolder != entry
                    && addressHolder.member.state().isReachable()) {
                // Only one process uses an address at a time, so the member known at this address must have ended. If
                // that member is alive and the sender's packet was delayed, the member refutes its death.
                declareDead(addressHolder, nowNanos, actions);
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

    private void merge(Member update, boolean gossip, long nowNanos, List<MemberAction> actions) {
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
                countNewMember(update, gossip, nowNanos);
                if (gossip) {
                    enqueue(update);
                }
                startSuspicionTimer(entry, nowNanos);
            } else {
                // The death or departure of an unknown member is recorded but not gossiped. Otherwise daemons, which
                // remove such entries at different times, would send it to each other forever.
                scheduleRemoval(entry, nowNanos);
            }
            return;
        }
        Member previous = entry.member;
        if (!update.supersedes(previous)) {
            return;
        }
        if (previous.state() == MemberState.LEAVING && update.state().isLive()) {
            // The counter is larger because the member was paused before its announcement was received. The member is
            // still leaving.
            return;
        }
        apply(entry, update, gossip, nowNanos, actions);
        if (gossip) {
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

    private void apply(MemberEntry entry, Member update, boolean gossip, long nowNanos, List<MemberAction> actions) {
        Member previous = entry.member;
        entry.member = update.withTableVersion(Math.max(update.tableVersion(), previous.tableVersion()));
        suspects.remove(update.incarnation());
        if (update.state().isReachable()) {
            if (!previous.state().isReachable()) {
                deadMembers.remove(update.incarnation());
                addReachable(entry);
                countNewMember(update, gossip, nowNanos);
            }
            startSuspicionTimer(entry, nowNanos);
        } else {
            if (previous.state().isReachable()) {
                removeReachable(entry);
            }
            scheduleRemoval(entry, nowNanos);
        }
        if (previous.state() != update.state()) {
            view = null;
            actions.add(new MemberAction.ChangeMember(entry.member, previous.state()));
        }
    }

    private void startSuspicionTimer(MemberEntry entry, long nowNanos) {
        if (entry.member.state() == MemberState.SUSPECT) {
            entry.deadlineNanos = nowNanos + settings.suspicionNanos();
            suspects.put(entry.member.incarnation(), entry);
        }
    }

    private void scheduleRemoval(MemberEntry entry, long nowNanos) {
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
            // The suspicion is not gossiped: the update would hide that the member is leaving.
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
        if (suspects.isEmpty() || isCutOff(nowNanos)) {
            return;
        }
        List<MemberEntry> expired = null;
        for (MemberEntry suspect : suspects.values()) {
            if (nowNanos - suspect.deadlineNanos < 0) {
                break;
            }
            expired = expired == null ? new ArrayList<>() : expired;
            expired.add(suspect);
        }
        if (expired != null) {
            for (MemberEntry entry : expired) {
                declareDead(entry, nowNanos, actions);
            }
        }
    }

    /** Returns whether this daemon receives no packets at all; then missing acknowledgements are no evidence. */
    private boolean isCutOff(long nowNanos) {
        return nowNanos - lastReceivedNanos >= 2 * settings.pingIntervalNanos();
    }

    private void removeExpired(long nowNanos) {
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
        if (!pendingRelays.isEmpty()) {
            pendingRelays.values().removeIf(relay -> nowNanos - relay.deadlineNanos >= 0);
        }
    }

    private void continueProbe(long nowNanos, List<MemberAction> actions) {
        if (probe != null && !probe.acknowledged && !probe.indirect) {
            if (nowNanos - probe.sentNanos >= settings.ackTimeoutNanos()) {
                probe.indirect = true;
                for (MemberEntry relay : pingTargets.pickRelays(probe.entry, self.zone())) {
                    long target = probe.entry.member.incarnation().value();
                    actions.add(
                            send(relay.member.address(), MemberPacket.Kind.PING_REQUEST, probe.sequence, target, 0));
                }
            }
        }
        if (nowNanos - nextPingNanos < 0) {
            return;
        }
        if (probe != null && !probe.acknowledged && !isCutOff(nowNanos)) {
            suspect(probe.entry, nowNanos, actions);
        }
        probe = null;
        nextPingNanos += settings.pingIntervalNanos();
        if (nowNanos - nextPingNanos >= 0) {
            nextPingNanos = nowNanos + settings.pingIntervalNanos();
        }
        MemberEntry target = pingTargets.next();
        if (target != null) {
            boolean repair = ++pingsSent % MemberSettings.REPAIR_PERIOD == 0;
            probe = new Probe(target, ++sequence, nowNanos, repair);
            actions.add(send(
                    target.member.address(),
                    MemberPacket.Kind.PING,
                    probe.sequence,
                    repair ? repairPageStart : 0,
                    target.member.incarnation().value()));
        }
    }

    private void continueSync(long nowNanos, List<MemberAction> actions) {
        if (sync == null && syncDue && nowNanos - syncAllowedNanos >= 0) {
            syncDue = false;
            pingTargets.pickRandom(1, null).forEach(entry -> startSync(entry.member.address(), nowNanos));
        }
        if (sync == null || nowNanos - sync.sentNanos < SYNC_RETRY_NANOS) {
            return;
        }
        if (++sync.failures > 2) {
            List<MemberEntry> replacements = pingTargets.pickRandom(1, null);
            if (replacements.isEmpty()) {
                sync = null;
                initialSyncStarted = false;
                return;
            }
            sync.peer = replacements.get(0).member.address();
            sync.failures = 0;
        }
        requestPage(nowNanos, actions);
    }

    private void startSync(MemberAddress peer, long nowNanos) {
        if (sync == null) {
            sync = new Sync(peer);
            // The first page is requested at the next tick, which counts it as no failure.
            sync.sentNanos = nowNanos - SYNC_RETRY_NANOS;
            sync.failures = -1;
            syncAllowedNanos = nowNanos + MemberSettings.SYNC_INTERVAL_NANOS;
            newMembersInWindow = 0;
        }
    }

    private void requestPage(long nowNanos, List<MemberAction> actions) {
        sync.sequence = ++sequence;
        sync.sentNanos = nowNanos;
        actions.add(send(sync.peer, MemberPacket.Kind.PING, sync.sequence, sync.pageStart, 0));
    }

    /**
     * Counts a new or returned member. Many at once mean that two separated parts of the fleet are connected again;
     * gossip alone, with at most 8 updates per packet, takes minutes to send them all. If a page of a full sync brings
     * such members, this list was out of date and that of the peer may be incomplete too, so another full sync follows.
     */
    private void countNewMember(Member update, boolean gossip, long nowNanos) {
        view = null;
        if (!initialSyncStarted) {
            initialSyncStarted = true;
            startSync(update.address(), nowNanos);
            return;
        }
        if (!gossip) {
            syncDue = true;
            return;
        }
        if (nowNanos - massJoinWindowEndNanos >= 0) {
            massJoinWindowEndNanos = nowNanos + MemberSettings.MASS_JOIN_WINDOW_NANOS;
            newMembersInWindow = 0;
        }
        if (++newMembersInWindow >= MemberSettings.MASS_JOIN_THRESHOLD) {
            syncDue = true;
        }
    }

    /**
     * Pings one member that is live in a page of a full sync and dead in this list. Only the member itself can resolve
     * the conflict, with a larger counter. One ping per page avoids a burst and is enough, because many daemons read
     * pages and together reach all such members.
     */
    private void contactDisputedMember(List<Member> page, List<MemberAction> actions) {
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

    private void contactUnknownAddresses(long nowNanos, List<MemberAction> actions) {
        if (nowNanos - nextContactNanos < 0 || contacts.isEmpty()) {
            return;
        }
        boolean alone = pingTargets.isEmpty();
        nextContactNanos = nowNanos + (alone ? settings.pingIntervalNanos() : settings.contactIntervalNanos());
        int limit = alone ? MemberSettings.RELAY_COUNT : 1;
        for (MemberAddress address : contacts.next(
                limit, candidate -> !candidate.equals(self.address()) && !byAddress.containsKey(candidate))) {
            actions.add(send(address, MemberPacket.Kind.PING, ++sequence, 0, 0));
        }
    }

    private void pushUpdates(long nowNanos, List<MemberAction> actions) {
        double seconds = (nowNanos - pushRefilledNanos) / 1e9;
        pushRefilledNanos = nowNanos;
        pushTokens = Math.min(MemberSettings.PUSH_BURST, pushTokens + seconds * MemberSettings.PUSH_PER_SECOND);
        if (!pushDue || pushTokens < 1) {
            return;
        }
        pushDue = false;
        for (MemberEntry entry : pingTargets.pickRandom((int) Math.min(MemberSettings.PUSH_FANOUT, pushTokens), null)) {
            pushTokens--;
            actions.add(send(entry.member.address(), MemberPacket.Kind.ACK, 0, 0, 0));
        }
    }

    private void answerPing(MemberPacket ping, List<MemberAction> actions) {
        if (ping.target() == 0) {
            actions.add(send(ping.sender().address(), MemberPacket.Kind.ACK, ping.sequence(), 0, 0));
            return;
        }
        List<Member> page = new ArrayList<>(MemberPacket.UPDATE_LIMIT);
        int remainingBytes = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(ping.sequence(), self, ping.target(), 0, beacon());
        long nextPageStart = 0;
        for (MemberEntry entry :
                entries.tailMap(new IncarnationId(ping.target()), true).values()) {
            if (!entry.member.state().isReachable()) {
                continue;
            }
            int size = EncodedSize.ofMessage(entry.member.encodedSizeBytes());
            if (page.size() == MemberPacket.UPDATE_LIMIT || size > remainingBytes) {
                nextPageStart = entry.member.incarnation().value();
                break;
            }
            remainingBytes -= size;
            page.add(entry.member);
        }
        actions.add(new MemberAction.SendPacket(
                ping.sender().address(),
                new MemberPacket(MemberPacket.Kind.ACK, ping.sequence(), self, nextPageStart, 0, beacon(), page)));
    }

    private void relayPing(MemberPacket request, long nowNanos, List<MemberAction> actions) {
        MemberEntry target = entries.get(new IncarnationId(request.target()));
        if (target == null) {
            return;
        }
        long relaySequence = ++sequence;
        pendingRelays.put(
                relaySequence,
                new PendingRelay(
                        request.sender().address(),
                        request.sequence(),
                        request.target(),
                        nowNanos + RELAY_TIMEOUT_NANOS));
        actions.add(send(target.member.address(), MemberPacket.Kind.PING, relaySequence, 0, request.target()));
    }

    private void handleAck(MemberPacket ack, long nowNanos, List<MemberAction> actions) {
        long sender = ack.sender().incarnation().value();
        if (probe != null && probe.sequence == ack.sequence()) {
            long target = probe.entry.member.incarnation().value();
            boolean direct = sender == target;
            if (!probe.acknowledged && (direct || ack.target() == target)) {
                probe.acknowledged = true;
                actions.add(new MemberAction.ExtendActivity(probe.sentNanos));
            }
            if (direct && probe.repair) {
                repairPageStart = ack.target() == 0 ? 1 : ack.target();
            }
        } else if (sync != null && sync.sequence == ack.sequence()) {
            sync.failures = 0;
            if (ack.target() == 0) {
                sync = null;
            } else {
                sync.pageStart = ack.target();
                requestPage(nowNanos, actions);
            }
        } else if (ack.sequence() != 0) {
            PendingRelay relay = pendingRelays.get(ack.sequence());
            if (relay != null && relay.target == sender) {
                pendingRelays.remove(ack.sequence());
                actions.add(send(relay.origin, MemberPacket.Kind.ACK, relay.originSequence, sender, 0));
            }
        }
    }

    private MemberAction send(
            MemberAddress to, MemberPacket.Kind kind, long packetSequence, long target, long expected) {
        TableBeacon beacon = beacon();
        int remainingBytes = MemberPacket.SIZE_LIMIT_BYTES
                - MemberPacket.headerSizeBytes(packetSequence, self, target, expected, beacon);
        List<Member> updates = updateQueue.take(MemberPacket.UPDATE_LIMIT, remainingBytes);
        return new MemberAction.SendPacket(
                to, new MemberPacket(kind, packetSequence, self, target, expected, beacon, updates));
    }

    private TableBeacon beacon() {
        if (!storeConfirmed) {
            return new TableBeacon(ownTableVersion, TableBeacon.NEVER_CONFIRMED, storeUnavailable);
        }
        // Rounding up and adding 2 ms for the network keep the age from shrinking as it passes from daemon to daemon.
        long ageMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(lastCallNanos - storeConfirmedNanos)) + 2;
        return new TableBeacon(
                ownTableVersion, (int) Math.min(ageMillis, TableBeacon.NEVER_CONFIRMED), storeUnavailable);
    }

    private void enqueue(Member update) {
        // A daemon that has just started knows few members, but the VM list indicates the size of the fleet.
        int bits = 32 - Integer.numberOfLeadingZeros(Math.max(pingTargets.size(), contacts.vmListSize()) + 1);
        updateQueue.add(update, 2 * bits);
        pushDue = true;
    }

    private void addReachable(MemberEntry entry) {
        pingTargets.add(entry);
        byAddress.put(entry.member.address(), entry);
    }

    private void removeReachable(MemberEntry entry) {
        pingTargets.remove(entry);
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
        private MemberAddress peer;
        private long pageStart = 1;
        /** Negative until the first page is requested; zero would match pushed updates, which are not pages. */
        private long sequence = -1;

        private long sentNanos;
        private int failures;

        Sync(MemberAddress peer) {
            this.peer = peer;
        }
    }

    private record PendingRelay(MemberAddress origin, long originSequence, long target, long deadlineNanos) {}
}
