package org.heatherreach.coordination.table;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberView;
import org.heatherreach.coordination.member.TableBeacon;
import org.heatherreach.state.id.IncarnationId;

/**
 * Spreads the table by gossip and judges how current this daemon is.
 *
 * <p>Readers watch the store. Whoever adopts a version pushes the difference to its predecessor to four random members;
 * a daemon that can't apply it, or that hears a larger version in a member packet, fetches what it lacks from that
 * peer. Each adoption is reported to the readers, which ask members that have not reported.
 *
 * <p>Invariants: the version only grows; a content is adopted only with the version that the store gave it; at
 * the instant of the last confirmation the store held no larger version than this daemon; while
 * isolated, this daemon has no proof that its table is current. Confined to one thread.
 */
public final class TableSpread implements TableDistribution {
    /** A daemon that was cut off for this long may have missed a change that is in force elsewhere. */
    public static final long ISOLATION_NANOS = TimeUnit.SECONDS.toNanos(7);

    private static final int PUSH_FANOUT = 4;
    private static final int HISTORY_LIMIT = 64;
    private static final int HISTORY_LIMIT_BYTES = 1 << 20;

    /** A larger delta is only announced, so that a member which several peers push to receives it once. */
    private static final int PUSH_LIMIT_BYTES = 4_096;

    private static final int AHEAD_LIMIT = 8;
    /** With the 2 to 3 s until the news of a version arrives this stays under {@link #ISOLATION_NANOS}. */
    private static final long FETCH_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A daemon knows few members when it starts; the delay keeps it from acting as a reader until it knows more. */
    private static final long READER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long CONFIRM_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SILENCE_READ_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final long SILENCE_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long ASK_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long ASK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int ASKS_PER_TICK = 32;
    private static final long SAME_CONFIRMATION_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long CURRENT_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Member self;
    private final RandomGenerator random;
    private final Map<IncarnationId, Long> reported = new HashMap<>();
    private final Map<IncarnationId, Member> ahead = new LinkedHashMap<>();
    private final Deque<TableDelta> history = new ArrayDeque<>();
    private int historyBytes;
    private MemberView members;
    private List<Member> readers = List.of();
    private long version;
    private byte[] content;

    private boolean confirmed;
    private long confirmedNanos;
    private boolean away;
    private long lastHeardNanos;
    private long behindDeadlineNanos;
    private IsolationCause isolation;

    private boolean chosen;
    private long watchDeadlineNanos;
    private boolean watching;
    private long nextReadNanos;
    private boolean fetching;
    private long fetchDeadlineNanos;
    private long nextAskNanos;
    private int askPosition;

    private long rejectedContents;

    /** Creates a daemon without a table. */
    public TableSpread(Member self, RandomGenerator random, long nowNanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        members = new MemberView(List.of(self));
        lastHeardNanos = nowNanos;
        nextReadNanos = nowNanos;
    }

    @Override
    public List<TableAction> tick(long nowNanos) {
        List<TableAction> actions = new ArrayList<>(2);
        watch(nowNanos, actions);
        if (nowNanos - lastHeardNanos >= ISOLATION_NANOS) {
            isolate(IsolationCause.SILENCE, actions);
        } else if (!ahead.isEmpty() && nowNanos - behindDeadlineNanos >= 0) {
            isolate(IsolationCause.BEHIND, actions);
        }
        if (!ahead.isEmpty()) {
            fetch(nowNanos, actions);
        }
        if (watching) {
            ask(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<TableAction> changeMembers(MemberView newMembers, List<Member> newReaders, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        List<Member> oldReaders = readers;
        members = newMembers;
        readers = List.copyOf(newReaders);
        reported.keySet().removeIf(incarnation -> !members.contains(incarnation));
        // A version whose only holders died can't be fetched, and the rest of the fleet goes on without it. If nobody
        // else is left, this daemon itself may be cut off, so it stays behind.
        if (!ahead.isEmpty() && members.reachable().stream().anyMatch(this::isNotAhead)) {
            ahead.keySet().removeIf(incarnation -> !members.contains(incarnation));
        }
        boolean nowChosen = readers.stream().anyMatch(this::isSelf);
        if (nowChosen && !chosen) {
            watchDeadlineNanos = nowNanos + READER_DELAY_NANOS;
        }
        chosen = nowChosen;
        if (version > 0) {
            for (Member reader : readers) {
                boolean known =
                        oldReaders.stream().anyMatch(old -> old.incarnation().equals(reader.incarnation()));
                if (!known && !isSelf(reader)) {
                    actions.add(new TableAction.SendFetch(reader, new TableFetch(version)));
                }
            }
        }
        return actions;
    }

    @Override
    public List<TableAction> hear(Member from, TableBeacon beacon, long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        heard(nowNanos, actions);
        if (beacon.tableVersion() <= version) {
            // A confirmation of a larger version says nothing about the own one.
            mergeConfirmation(beacon, nowNanos);
        }
        noteVersion(from, beacon.tableVersion(), nowNanos, actions);
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> receivePush(IncarnationId from, TablePush push, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        heard(nowNanos, actions);
        Optional<Member> sender = members.find(from);
        if (push.version() > version && accept(push.version(), push.payload(), nowNanos, actions)) {
            sender.ifPresent(member -> reported.merge(member.incarnation(), push.version(), Math::max));
        } else if (push.version() <= version && TablePayload.isNone(push.payload())) {
            sender.ifPresent(member -> actions.add(new TableAction.SendFetch(member, new TableFetch(version))));
        } else {
            sender.ifPresent(member -> noteVersion(member, push.version(), nowNanos, actions));
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> receiveFetch(IncarnationId from, TableFetch fetch, long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        heard(nowNanos, actions);
        members.find(from).ifPresent(member -> {
            noteVersion(member, fetch.knownVersion(), nowNanos, actions);
            if (fetch.knownVersion() < version) {
                actions.add(new TableAction.SendAnswer(
                        member, new TableAnswer(version, payloadSince(fetch.knownVersion()))));
            }
        });
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> receiveAnswer(IncarnationId from, TableAnswer answer, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        heard(nowNanos, actions);
        fetching = false;
        if (answer.version() > version && !accept(answer.version(), answer.payload(), nowNanos, actions)) {
            rejectedContents++;
            // The next fetch asks for the whole table.
            clearHistory();
            members.find(from).ifPresent(member -> actions.add(new TableAction.SendFetch(member, new TableFetch(0))));
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> readStore(long newVersion, byte[] newContent, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        confirm(nowNanos, actions);
        if (newVersion > version) {
            TableDelta delta = content == null ? null : TableDelta.between(version, content, newVersion, newContent);
            adopt(newVersion, newContent, delta == null ? List.of() : List.of(delta), actions);
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> confirmStore(long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        confirm(nowNanos, actions);
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> loseStore(long nowNanos) {
        away = true;
        return List.of();
    }

    @Override
    public long version() {
        return version;
    }

    @Override
    public Optional<byte[]> content() {
        return Optional.ofNullable(content);
    }

    /** Returns why this daemon refuses new work; empty if it takes work, provided that it has a table. */
    public Optional<IsolationCause> isolation() {
        return Optional.ofNullable(isolation);
    }

    /** Returns what is known of the store. */
    public StoreStatus storeStatus(long nowNanos) {
        if (away) {
            return StoreStatus.UNAVAILABLE;
        }
        return confirmed && nowNanos - confirmedNanos <= CURRENT_NANOS ? StoreStatus.CURRENT : StoreStatus.UNKNOWN;
    }

    /** Returns when any reader last saw the store current; empty if that was never heard of. */
    public Optional<Long> storeConfirmedNanos() {
        return confirmed ? Optional.of(confirmedNanos) : Optional.empty();
    }

    /** Returns whether packets are to tell that the store is unavailable. */
    public boolean isStoreAway() {
        return away;
    }

    /** Returns whether this daemon watches the store. */
    public boolean isReader() {
        return watching;
    }

    /** Returns the readers, which know who has reported; other daemons point to them on their status page. */
    public List<Member> readers() {
        return readers;
    }

    /** Returns how many answers were damaged or did not fit. */
    public long rejectedContents() {
        return rejectedContents;
    }

    /** Compares the reports with the reachable members, leaving ones included because they still serve, and with the daemon VMs that are listed live. */
    public InForceView inForce(long wantedVersion, Collection<MemberAddress> listedLive) {
        List<Member> missing = new ArrayList<>();
        List<MemberAddress> silent = new ArrayList<>(listedLive);
        for (Member member : members.reachable()) {
            long has = isSelf(member) ? version : reported.getOrDefault(member.incarnation(), 0L);
            if (has < wantedVersion) {
                missing.add(member);
            }
            silent.remove(member.address());
        }
        return new InForceView(wantedVersion, missing, silent);
    }

    private void watch(long nowNanos, List<TableAction> actions) {
        if (chosen && !watching && nowNanos - watchDeadlineNanos >= 0) {
            watching = true;
            actions.add(new TableAction.WatchStore());
            nextReadNanos = nowNanos;
            nextAskNanos = nowNanos;
        } else if (!chosen && watching) {
            watching = false;
            actions.add(new TableAction.EndWatch());
        }
        boolean silent = nowNanos - lastHeardNanos >= SILENCE_READ_NANOS;
        if ((watching || silent) && nowNanos - nextReadNanos >= 0) {
            nextReadNanos = nowNanos + (silent ? SILENCE_READ_INTERVAL_NANOS : CONFIRM_INTERVAL_NANOS);
            actions.add(new TableAction.ReadStore());
        }
    }

    private void heard(long nowNanos, List<TableAction> actions) {
        // After a pause the first packet may be handled before the first tick.
        if (nowNanos - lastHeardNanos >= ISOLATION_NANOS) {
            isolate(IsolationCause.SILENCE, actions);
        }
        lastHeardNanos = nowNanos;
    }

    private void isolate(IsolationCause cause, List<TableAction> actions) {
        if (isolation == null) {
            isolation = cause;
            actions.add(new TableAction.EnterIsolation(cause));
        }
    }

    /** Ends isolation once something was heard and no live peer is known to hold a larger version. */
    private void leaveIsolation(List<TableAction> actions) {
        if (isolation != null && ahead.isEmpty()) {
            isolation = null;
            actions.add(new TableAction.LeaveIsolation());
        }
    }

    private void confirm(long nowNanos, List<TableAction> actions) {
        heard(nowNanos, actions);
        confirmed = true;
        confirmedNanos = nowNanos;
        away = false;
    }

    private void mergeConfirmation(TableBeacon beacon, long nowNanos) {
        if (beacon.storeConfirmedAgeMillis() == TableBeacon.NEVER_CONFIRMED) {
            if (!confirmed) {
                away |= beacon.storeAway();
            }
            return;
        }
        long instantNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(beacon.storeConfirmedAgeMillis());
        long newerNanos = instantNanos - confirmedNanos;
        if (!confirmed || newerNanos > SAME_CONFIRMATION_NANOS) {
            confirmed = true;
            confirmedNanos = instantNanos;
            away = beacon.storeAway();
        } else if (newerNanos > -SAME_CONFIRMATION_NANOS) {
            confirmedNanos = Math.max(confirmedNanos, instantNanos);
            away |= beacon.storeAway();
        }
    }

    private void noteVersion(Member from, long peerVersion, long nowNanos, List<TableAction> actions) {
        if (members.contains(from.incarnation())) {
            reported.merge(from.incarnation(), peerVersion, Math::max);
        }
        if (peerVersion <= version) {
            return;
        }
        if (ahead.isEmpty()) {
            // The larger version was accepted after the own one was last confirmed, so peers may rely on it from then
            // on. The first peers that announce it may be out of reach for a fetch; the others follow within seconds.
            long provenNanos = confirmed ? confirmedNanos : nowNanos;
            behindDeadlineNanos = nowNanos + Math.max(provenNanos + ISOLATION_NANOS - nowNanos, FETCH_GRACE_NANOS);
        }
        if (ahead.size() < AHEAD_LIMIT) {
            ahead.put(from.incarnation(), from);
        }
        fetch(nowNanos, actions);
    }

    private void fetch(long nowNanos, List<TableAction> actions) {
        if (fetching && nowNanos - fetchDeadlineNanos < 0) {
            return;
        }
        fetching = true;
        fetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        List<Member> peers = new ArrayList<>(ahead.values());
        Member peer = peers.get(random.nextInt(peers.size()));
        actions.add(new TableAction.SendFetch(peer, new TableFetch(version)));
    }

    private boolean accept(long newVersion, byte[] payload, long nowNanos, List<TableAction> actions) {
        Optional<byte[]> full = TablePayload.readFull(payload);
        if (full.isPresent()) {
            adopt(newVersion, full.get(), List.of(), actions);
            return true;
        }
        List<TableDelta> applied = new ArrayList<>();
        byte[] result = content;
        long reached = version;
        for (TableDelta delta : TablePayload.readDeltas(payload)) {
            if (result != null && delta.baseVersion() == reached && delta.version() > reached) {
                Optional<byte[]> next = delta.apply(result);
                if (next.isEmpty()) {
                    return false;
                }
                result = next.get();
                reached = delta.version();
                applied.add(delta);
            }
        }
        if (reached != newVersion) {
            return false;
        }
        adopt(newVersion, result, applied, actions);
        return true;
    }

    private void adopt(long newVersion, byte[] newContent, List<TableDelta> deltas, List<TableAction> actions) {
        version = newVersion;
        content = newContent;
        fetching = false;
        ahead.keySet().removeIf(incarnation -> reported.getOrDefault(incarnation, 0L) <= version);
        if (deltas.isEmpty()) {
            clearHistory();
        }
        deltas.forEach(this::remember);
        actions.add(new TableAction.AdoptTable(version, content));
        byte[] payload = TablePayload.none();
        if (deltas.size() == 1 && deltas.get(0).operations().length <= PUSH_LIMIT_BYTES) {
            payload = TablePayload.deltas(deltas);
        }
        TablePush push = new TablePush(version, payload);
        for (Member peer : pickPeers()) {
            actions.add(new TableAction.SendPush(peer, push));
        }
        for (Member reader : readers) {
            if (!isSelf(reader)) {
                actions.add(new TableAction.SendFetch(reader, new TableFetch(version)));
            }
        }
        nextAskNanos = lastHeardNanos + ASK_DELAY_NANOS;
    }

    private void remember(TableDelta delta) {
        history.addLast(delta);
        historyBytes += delta.operations().length;
        while (history.size() > HISTORY_LIMIT || historyBytes > HISTORY_LIMIT_BYTES) {
            historyBytes -= history.removeFirst().operations().length;
        }
    }

    private void clearHistory() {
        history.clear();
        historyBytes = 0;
    }

    private byte[] payloadSince(long knownVersion) {
        List<TableDelta> chain = new ArrayList<>();
        long reached = knownVersion;
        int bytes = 0;
        for (TableDelta delta : history) {
            if (delta.baseVersion() == reached) {
                chain.add(delta);
                bytes += delta.operations().length;
                reached = delta.version();
            }
        }
        return reached == version && bytes < content.length ? TablePayload.deltas(chain) : TablePayload.full(content);
    }

    private List<Member> pickPeers() {
        List<Member> peers = members.reachable();
        List<Member> picked = new ArrayList<>(PUSH_FANOUT);
        for (int draw = 0; draw < 4 * PUSH_FANOUT && picked.size() < PUSH_FANOUT && !peers.isEmpty(); draw++) {
            Member peer = peers.get(random.nextInt(peers.size()));
            if (!isSelf(peer) && !picked.contains(peer)) {
                picked.add(peer);
            }
        }
        return picked;
    }

    /** Asks members of the own region that have not reported; a few per tick bound the cost of a tick. */
    private void ask(long nowNanos, List<TableAction> actions) {
        if (version == 0 || nowNanos - nextAskNanos < 0) {
            return;
        }
        List<Member> peers = members.reachable();
        for (int asked = 0; asked < ASKS_PER_TICK; asked++) {
            if (askPosition >= peers.size()) {
                askPosition = 0;
                nextAskNanos = nowNanos + ASK_INTERVAL_NANOS;
                return;
            }
            Member member = peers.get(askPosition++);
            boolean late = reported.getOrDefault(member.incarnation(), 0L) < version;
            if (late && !isSelf(member) && member.region().equals(self.region())) {
                actions.add(new TableAction.SendPush(member, new TablePush(version, TablePayload.none())));
            }
        }
    }

    private boolean isNotAhead(Member member) {
        return !isSelf(member) && reported.getOrDefault(member.incarnation(), 0L) <= version;
    }

    private boolean isSelf(Member member) {
        return member.incarnation().equals(self.incarnation());
    }
}
