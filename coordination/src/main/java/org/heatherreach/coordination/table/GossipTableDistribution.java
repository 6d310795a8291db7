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
 * Distributes the table by gossip and determines whether the table of this daemon is current.
 *
 * <p>Readers watch the store. Each daemon that adopts a version pushes the delta from the previous version to four
 * random members. A daemon that can't apply the delta, or that receives a larger version in a member packet, fetches
 * the missing content from a peer with the larger version. Each adoption is reported to the readers, which request a
 * report from members that have sent none.
 *
 * <p>Invariants: the version only grows; content is adopted only under the version that the store assigned to it; at
 * the time of the last confirmation the store held no larger version than this daemon; while isolated, this daemon has
 * no proof that its table is current. Confined to one thread.
 */
public final class GossipTableDistribution implements TableDistribution {
    /** After a disconnection of this length a daemon may lack a change that is in force on other daemons. */
    public static final long ISOLATION_NANOS = TimeUnit.SECONDS.toNanos(7);

    private static final int PUSH_FANOUT = 4;
    private static final int HISTORY_LIMIT = 64;
    private static final int HISTORY_LIMIT_BYTES = 1 << 20;

    /**
     * Larger deltas are announced without content, so that a member to which several peers push transfers them once.
     */
    private static final int PUSH_LIMIT_BYTES = 4_096;

    private static final int PEERS_AHEAD_LIMIT = 8;
    /**
     * Minimum time in which this daemon may fetch a larger version before it is isolated. It takes 2 to 3 s until this
     * daemon knows of a new version; together with that, the limit stays below {@link #ISOLATION_NANOS}.
     */
    private static final long FETCH_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** A daemon that has just started knows few members; the delay prevents it from acting as a reader too early. */
    private static final long READER_DELAY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final long STORE_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** After this time without contact, even a daemon that is not a reader reads the store. */
    private static final long SILENCE_BEFORE_READ_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long SILENCE_READ_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long REPORT_REQUEST_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long REPORT_REQUEST_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final int REPORT_REQUEST_SCAN_LIMIT = 32;
    /** Confirmations whose times differ by less count as equally new. */
    private static final long CONFIRMATION_TOLERANCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long CONFIRMATION_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final Member self;
    private final RandomGenerator random;
    private final Map<IncarnationId, Long> reportedVersions = new HashMap<>();
    private final Map<IncarnationId, Member> peersAhead = new LinkedHashMap<>();
    private final Deque<TableDelta> history = new ArrayDeque<>();
    private int historyBytes;
    private MemberView members;
    private List<Member> readers = List.of();
    private long version;
    private byte[] content;

    private boolean storeConfirmed;
    private long storeConfirmedNanos;
    private boolean storeUnavailable;
    private long lastContactNanos;
    private long behindDeadlineNanos;
    private IsolationCause isolation;

    private boolean assignedAsReader;
    private long watchStartNanos;
    private boolean watching;
    private long nextReadNanos;
    private boolean fetchPending;
    private long fetchDeadlineNanos;
    private long nextReportRequestNanos;
    private int reportRequestIndex;

    private long rejectedAnswers;

    /** Creates the distribution of a daemon that has no table yet. */
    public GossipTableDistribution(Member self, RandomGenerator random, long nowNanos) {
        this.self = Objects.requireNonNull(self, "self");
        this.random = Objects.requireNonNull(random, "random");
        members = new MemberView(List.of(self));
        lastContactNanos = nowNanos;
        nextReadNanos = nowNanos;
    }

    @Override
    public List<TableAction> tick(long nowNanos) {
        List<TableAction> actions = new ArrayList<>(2);
        watchAndReadStore(nowNanos, actions);
        if (nowNanos - lastContactNanos >= ISOLATION_NANOS) {
            isolate(IsolationCause.SILENCE, actions);
        } else if (!peersAhead.isEmpty() && nowNanos - behindDeadlineNanos >= 0) {
            isolate(IsolationCause.BEHIND, actions);
        }
        if (!peersAhead.isEmpty()) {
            fetch(nowNanos, actions);
        }
        if (watching) {
            requestReports(nowNanos, actions);
        }
        return actions;
    }

    @Override
    public List<TableAction> changeMembers(MemberView newMembers, List<Member> newReaders, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        List<Member> oldReaders = readers;
        members = newMembers;
        readers = List.copyOf(newReaders);
        reportedVersions.keySet().removeIf(incarnation -> !members.contains(incarnation));
        // A version that only lost members held can't be fetched, and the rest of the fleet continues without it. If no
        // other member remains, this daemon itself may be cut off, so it still counts as behind.
        if (!peersAhead.isEmpty() && members.reachable().stream().anyMatch(this::isNotAhead)) {
            peersAhead.keySet().removeIf(incarnation -> !members.contains(incarnation));
        }
        boolean nowAssigned = readers.stream().anyMatch(this::isSelf);
        if (nowAssigned && !assignedAsReader) {
            watchStartNanos = nowNanos + READER_DELAY_NANOS;
        }
        assignedAsReader = nowAssigned;
        if (version > 0) {
            for (Member reader : readers) {
                boolean wasReader =
                        oldReaders.stream().anyMatch(old -> old.incarnation().equals(reader.incarnation()));
                if (!wasReader && !isSelf(reader)) {
                    actions.add(new TableAction.SendFetch(reader, new TableFetch(version)));
                }
            }
        }
        return actions;
    }

    @Override
    public List<TableAction> receiveBeacon(Member from, TableBeacon beacon, long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        recordContact(nowNanos, actions);
        if (beacon.tableVersion() <= version) {
            // A confirmation of a larger version is no evidence that the version of this daemon is current.
            mergeConfirmation(beacon, nowNanos);
        }
        recordPeerVersion(from, beacon.tableVersion(), nowNanos, actions);
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> receivePush(IncarnationId from, TablePush push, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        recordContact(nowNanos, actions);
        Optional<Member> sender = members.find(from);
        if (push.version() > version && applyPayload(push.version(), push.payload(), nowNanos, actions)) {
            sender.ifPresent(member -> reportedVersions.merge(member.incarnation(), push.version(), Math::max));
        } else if (push.version() <= version && TablePayload.isNone(push.payload())) {
            sender.ifPresent(member -> actions.add(new TableAction.SendFetch(member, new TableFetch(version))));
        } else {
            sender.ifPresent(member -> recordPeerVersion(member, push.version(), nowNanos, actions));
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> receiveFetch(IncarnationId from, TableFetch fetch, long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        recordContact(nowNanos, actions);
        members.find(from).ifPresent(member -> {
            recordPeerVersion(member, fetch.knownVersion(), nowNanos, actions);
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
        recordContact(nowNanos, actions);
        fetchPending = false;
        if (answer.version() > version && !applyPayload(answer.version(), answer.payload(), nowNanos, actions)) {
            rejectedAnswers++;
            clearHistory();
            // A fetch with version 0 requests the whole table.
            members.find(from).ifPresent(member -> actions.add(new TableAction.SendFetch(member, new TableFetch(0))));
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> handleStoreContent(long newVersion, byte[] newContent, long nowNanos) {
        List<TableAction> actions = new ArrayList<>();
        recordStoreConfirmation(nowNanos, actions);
        if (newVersion > version) {
            TableDelta delta = content == null ? null : TableDelta.between(version, content, newVersion, newContent);
            adopt(newVersion, newContent, delta == null ? List.of() : List.of(delta), actions);
        }
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> handleStoreUnchanged(long nowNanos) {
        List<TableAction> actions = new ArrayList<>(1);
        recordStoreConfirmation(nowNanos, actions);
        leaveIsolation(actions);
        return actions;
    }

    @Override
    public List<TableAction> handleStoreFailure(long nowNanos) {
        storeUnavailable = true;
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

    /** Returns why this daemon is isolated; empty if it is not, so that it accepts new work once it has a table. */
    public Optional<IsolationCause> isolation() {
        return Optional.ofNullable(isolation);
    }

    /** Returns the status of the store as known to this daemon. */
    public StoreStatus storeStatus(long nowNanos) {
        if (storeUnavailable) {
            return StoreStatus.UNAVAILABLE;
        }
        return storeConfirmed && nowNanos - storeConfirmedNanos <= CONFIRMATION_VALIDITY_NANOS
                ? StoreStatus.CURRENT
                : StoreStatus.UNKNOWN;
    }

    /** Returns when a reader last confirmed the table version with the store; empty if no confirmation is known. */
    public Optional<Long> storeConfirmedNanos() {
        return storeConfirmed ? Optional.of(storeConfirmedNanos) : Optional.empty();
    }

    /** Returns whether packets of this daemon advertise that the store is unavailable. */
    public boolean isStoreUnavailable() {
        return storeUnavailable;
    }

    /** Returns whether this daemon watches the store. */
    public boolean isReader() {
        return watching;
    }

    /** Returns the readers, which know the reported versions; the status pages of other daemons refer to them. */
    public List<Member> readers() {
        return readers;
    }

    /** Returns how many answers were corrupt or could not be applied to the version of this daemon. */
    public long rejectedAnswers() {
        return rejectedAnswers;
    }

    /**
     * Compares the reported versions with the reachable members, which include leaving ones because they still serve,
     * and with the daemon VMs that are listed as live.
     */
    public InForceView inForce(long wantedVersion, Collection<MemberAddress> liveVmAddresses) {
        List<Member> missing = new ArrayList<>();
        List<MemberAddress> silent = new ArrayList<>(liveVmAddresses);
        for (Member member : members.reachable()) {
            long memberVersion = isSelf(member) ? version : reportedVersions.getOrDefault(member.incarnation(), 0L);
            if (memberVersion < wantedVersion) {
                missing.add(member);
            }
            silent.remove(member.address());
        }
        return new InForceView(wantedVersion, missing, silent);
    }

    private void watchAndReadStore(long nowNanos, List<TableAction> actions) {
        if (assignedAsReader && !watching && nowNanos - watchStartNanos >= 0) {
            watching = true;
            actions.add(new TableAction.WatchStore());
            nextReadNanos = nowNanos;
            nextReportRequestNanos = nowNanos;
        } else if (!assignedAsReader && watching) {
            watching = false;
            actions.add(new TableAction.EndWatch());
        }
        boolean noRecentContact = nowNanos - lastContactNanos >= SILENCE_BEFORE_READ_NANOS;
        if ((watching || noRecentContact) && nowNanos - nextReadNanos >= 0) {
            nextReadNanos = nowNanos + (noRecentContact ? SILENCE_READ_INTERVAL_NANOS : STORE_READ_INTERVAL_NANOS);
            actions.add(new TableAction.ReadStore());
        }
    }

    private void recordContact(long nowNanos, List<TableAction> actions) {
        // After a pause of this process the first packet may be handled before a tick detects the silence.
        if (nowNanos - lastContactNanos >= ISOLATION_NANOS) {
            isolate(IsolationCause.SILENCE, actions);
        }
        lastContactNanos = nowNanos;
    }

    private void isolate(IsolationCause cause, List<TableAction> actions) {
        if (isolation == null) {
            isolation = cause;
            actions.add(new TableAction.EnterIsolation(cause));
        }
    }

    /** Ends isolation after contact with a peer or the store, if no live peer is known to hold a larger version. */
    private void leaveIsolation(List<TableAction> actions) {
        if (isolation != null && peersAhead.isEmpty()) {
            isolation = null;
            actions.add(new TableAction.LeaveIsolation());
        }
    }

    private void recordStoreConfirmation(long nowNanos, List<TableAction> actions) {
        recordContact(nowNanos, actions);
        storeConfirmed = true;
        storeConfirmedNanos = nowNanos;
        storeUnavailable = false;
    }

    private void mergeConfirmation(TableBeacon beacon, long nowNanos) {
        if (beacon.storeConfirmedAgeMillis() == TableBeacon.NEVER_CONFIRMED) {
            if (!storeConfirmed) {
                storeUnavailable |= beacon.storeUnavailable();
            }
            return;
        }
        long beaconConfirmedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(beacon.storeConfirmedAgeMillis());
        long differenceNanos = beaconConfirmedNanos - storeConfirmedNanos;
        if (!storeConfirmed || differenceNanos > CONFIRMATION_TOLERANCE_NANOS) {
            storeConfirmed = true;
            storeConfirmedNanos = beaconConfirmedNanos;
            storeUnavailable = beacon.storeUnavailable();
        } else if (differenceNanos > -CONFIRMATION_TOLERANCE_NANOS) {
            storeConfirmedNanos = Math.max(storeConfirmedNanos, beaconConfirmedNanos);
            storeUnavailable |= beacon.storeUnavailable();
        }
    }

    private void recordPeerVersion(Member from, long peerVersion, long nowNanos, List<TableAction> actions) {
        if (members.contains(from.incarnation())) {
            reportedVersions.merge(from.incarnation(), peerVersion, Math::max);
        }
        if (peerVersion <= version) {
            return;
        }
        if (peersAhead.isEmpty()) {
            // The store accepted the larger version after it last confirmed the version of this daemon, so peers may
            // have relied on the larger version since that confirmation. Fetches may not reach the first peers that
            // announce the larger version; other peers announce it within seconds.
            long lastCurrentNanos = storeConfirmed ? storeConfirmedNanos : nowNanos;
            behindDeadlineNanos = nowNanos + Math.max(lastCurrentNanos + ISOLATION_NANOS - nowNanos, FETCH_GRACE_NANOS);
        }
        if (peersAhead.size() < PEERS_AHEAD_LIMIT) {
            peersAhead.put(from.incarnation(), from);
        }
        fetch(nowNanos, actions);
    }

    private void fetch(long nowNanos, List<TableAction> actions) {
        if (fetchPending && nowNanos - fetchDeadlineNanos < 0) {
            return;
        }
        fetchPending = true;
        fetchDeadlineNanos = nowNanos + FETCH_TIMEOUT_NANOS;
        List<Member> peers = new ArrayList<>(peersAhead.values());
        Member peer = peers.get(random.nextInt(peers.size()));
        actions.add(new TableAction.SendFetch(peer, new TableFetch(version)));
    }

    private boolean applyPayload(long newVersion, byte[] payload, long nowNanos, List<TableAction> actions) {
        Optional<byte[]> full = TablePayload.readFull(payload);
        if (full.isPresent()) {
            adopt(newVersion, full.get(), List.of(), actions);
            return true;
        }
        List<TableDelta> applied = new ArrayList<>();
        byte[] result = content;
        long reachedVersion = version;
        for (TableDelta delta : TablePayload.readDeltas(payload)) {
            if (result != null && delta.baseVersion() == reachedVersion && delta.version() > reachedVersion) {
                Optional<byte[]> next = delta.apply(result);
                if (next.isEmpty()) {
                    return false;
                }
                result = next.get();
                reachedVersion = delta.version();
                applied.add(delta);
            }
        }
        if (reachedVersion != newVersion) {
            return false;
        }
        adopt(newVersion, result, applied, actions);
        return true;
    }

    private void adopt(long newVersion, byte[] newContent, List<TableDelta> deltas, List<TableAction> actions) {
        version = newVersion;
        content = newContent;
        fetchPending = false;
        peersAhead.keySet().removeIf(incarnation -> reportedVersions.getOrDefault(incarnation, 0L) <= version);
        if (deltas.isEmpty()) {
            clearHistory();
        }
        deltas.forEach(this::appendHistory);
        actions.add(new TableAction.AdoptTable(version, content));
        byte[] payload = TablePayload.none();
        if (deltas.size() == 1 && deltas.get(0).operations().length <= PUSH_LIMIT_BYTES) {
            payload = TablePayload.deltas(deltas);
        }
        TablePush push = new TablePush(version, payload);
        for (Member peer : pickPushPeers()) {
            actions.add(new TableAction.SendPush(peer, push));
        }
        for (Member reader : readers) {
            if (!isSelf(reader)) {
                actions.add(new TableAction.SendFetch(reader, new TableFetch(version)));
            }
        }
        nextReportRequestNanos = lastContactNanos + REPORT_REQUEST_DELAY_NANOS;
    }

    private void appendHistory(TableDelta delta) {
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
        long reachedVersion = knownVersion;
        int bytes = 0;
        for (TableDelta delta : history) {
            if (delta.baseVersion() == reachedVersion) {
                chain.add(delta);
                bytes += delta.operations().length;
                reachedVersion = delta.version();
            }
        }
        return reachedVersion == version && bytes < content.length
                ? TablePayload.deltas(chain)
                : TablePayload.full(content);
    }

    private List<Member> pickPushPeers() {
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

    /**
     * Requests reports from members of the own region that have not reported the version of this daemon; examines a
     * limited number of members per tick to bound its cost.
     */
    private void requestReports(long nowNanos, List<TableAction> actions) {
        if (version == 0 || nowNanos - nextReportRequestNanos < 0) {
            return;
        }
        List<Member> peers = members.reachable();
        for (int examined = 0; examined < REPORT_REQUEST_SCAN_LIMIT; examined++) {
            if (reportRequestIndex >= peers.size()) {
                reportRequestIndex = 0;
                nextReportRequestNanos = nowNanos + REPORT_REQUEST_INTERVAL_NANOS;
                return;
            }
            Member member = peers.get(reportRequestIndex++);
            boolean behind = reportedVersions.getOrDefault(member.incarnation(), 0L) < version;
            if (behind && !isSelf(member) && member.region().equals(self.region())) {
                actions.add(new TableAction.SendPush(member, new TablePush(version, TablePayload.none())));
            }
        }
    }

    private boolean isNotAhead(Member member) {
        return !isSelf(member) && reportedVersions.getOrDefault(member.incarnation(), 0L) <= version;
    }

    private boolean isSelf(Member member) {
        return member.incarnation().equals(self.incarnation());
    }
}
