package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.heatherreach.coordination.quota.QuotaAction;
import org.heatherreach.coordination.quota.QuotaGrant;
import org.heatherreach.coordination.quota.QuotaLedger;
import org.heatherreach.coordination.quota.QuotaPartitions;
import org.heatherreach.coordination.quota.QuotaPool;
import org.heatherreach.coordination.quota.QuotaRequest;
import org.heatherreach.coordination.quota.QuotaStatus;
import org.heatherreach.protocol.peer.wire.DaemonEntry;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.protocol.peer.wire.QuotaOwner;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.route.RoutingTable;
import org.heatherreach.state.workspace.Workspace;
import org.heatherreach.state.workspace.WorkspaceQuota;
import org.heatherreach.transport.duty.DutyThread;
import org.heatherreach.transport.http.AdmissionDecision;
import org.heatherreach.transport.http.WorkspaceAdmission;
import org.heatherreach.transport.peer.PacketHandler;

/**
 * The duty {@code quota}: admits requests of limited workspaces, and grants credits for the partitions that this daemon
 * owns.
 *
 * <p>Invariants: the thread starts with the first request of a limited workspace or the first request for credits; each
 * admitted ticket gets one decision unless it is cancelled; credits are granted only while this daemon is the owner.
 *
 * <p>Thread safety: the public methods may be called by any thread and don't block. The pool, the ledgers and the
 * callbacks are confined to the thread of the duty.
 */
final class QuotaDuty implements WorkspaceAdmission, PacketHandler<PoolUpdate>, QuotaOwnership.Listener {
    private static final int RING_CAPACITY = 8192;
    private static final long TICK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** An event of the duty. */
    private interface Event {
        void apply(long nowNanos);
    }

    private final QuotaPartitions partitions;
    private final long selfIncarnation;
    private final IntFunction<Option<Long>> ownedSince;
    private final Supplier<Option<RoutingTable>> table;
    private final Supplier<List<DaemonRegistry.Peer>> peers;
    private final BiConsumer<PoolUpdate.Builder, InetSocketAddress> sender;
    private final QuotaMeters meters;
    private final DutyThread<Event> thread;

    private final QuotaPool pool;
    private final Map<Integer, OwnedLedger> ledgers = new HashMap<>();
    private final Map<Long, Consumer<AdmissionDecision>> callbacks = new HashMap<>();
    private long maintenanceNanos;

    private final Owner[] owners;
    private volatile boolean started;
    private boolean storeAvailable = true;

    /**
     * Creates the duty; its thread is not started.
     *
     * @param selfIncarnation the incarnation of this daemon
     * @param ownedSince since when this daemon owns a partition; empty if it may not grant
     * @param table supplies the routing table in use, whose limits an owner enforces
     * @param peers supplies the other listed daemons
     * @param sender sends an update to a daemon
     */
    QuotaDuty(
            QuotaPartitions partitions,
            long selfIncarnation,
            IntFunction<Option<Long>> ownedSince,
            Supplier<Option<RoutingTable>> table,
            Supplier<List<DaemonRegistry.Peer>> peers,
            BiConsumer<PoolUpdate.Builder, InetSocketAddress> sender,
            QuotaMeters meters) {
        this.partitions = Objects.requireNonNull(partitions, "partitions");
        this.selfIncarnation = selfIncarnation;
        this.ownedSince = Objects.requireNonNull(ownedSince, "ownedSince");
        this.table = Objects.requireNonNull(table, "table");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.owners = new Owner[partitions.count()];
        this.pool = new QuotaPool(partitions.count(), 1);
        this.thread = new DutyThread<>("quota", RING_CAPACITY, this::handle, this::tick, TICK_INTERVAL_NANOS);
    }

    @Override
    public void admit(long ticket, Workspace workspace, long deadlineNanos, Consumer<AdmissionDecision> callback) {
        boolean accepted = offer(nowNanos -> {
            callbacks.put(ticket, callback);
            run(pool.submit(ticket, workspace.id(), workspace.quota(), deadlineNanos, nowNanos), nowNanos);
        });
        if (!accepted) {
            callback.accept(new AdmissionDecision.Refuse(RefusalReason.RING_FULL, 0));
        }
    }

    @Override
    public void cancel(long ticket) {
        thread.offerAlways(nowNanos -> {
            callbacks.remove(ticket);
            pool.cancel(ticket);
        });
    }

    @Override
    public void refund(WorkspaceId workspace) {
        thread.offerAlways(nowNanos -> pool.refund(workspace, nowNanos));
    }

    /** Handles the requests for credits and the grants of another daemon; a full ring drops them like a lost datagram. */
    @Override
    public void receive(PoolUpdate update, InetSocketAddress from) {
        if (update.getQuotaRequestsCount() > 0) {
            offer(nowNanos -> answer(update, from, nowNanos));
        }
        if (update.getQuotaGrantsCount() > 0 && started) {
            offer(nowNanos -> applyGrants(update, nowNanos));
        }
    }

    @Override
    public synchronized void ownerChanged(int partition, Option<DaemonEntry> owner) {
        owners[partition] = owner.map(Owner::of).getOrNull();
        if (started) {
            announce(partition, false);
            announce(partition, storeAvailable && owner.isDefined());
        }
    }

    @Override
    public void announce(List<QuotaOwner> owned) {
        List<DaemonRegistry.Peer> recipients = peers.get();
        for (List<QuotaOwner> part : QuotaMessages.datagrams(owned)) {
            recipients.forEach(peer -> send(PoolUpdate.newBuilder().addAllQuotaOwners(part), peer.address()));
        }
    }

    @Override
    public synchronized void storeChanged(boolean available) {
        storeAvailable = available;
        if (started) {
            announceAll();
        }
    }

    /**
     * Asks what is known of the quota of a workspace. Changes nothing and does not start the thread.
     *
     * @param callback receives the status; called by the thread of the duty if it was started
     * @return whether the question was accepted
     */
    boolean explain(WorkspaceId workspace, Consumer<QuotaStatus> callback) {
        if (!started) {
            callback.accept(QuotaStatus.unused(false, false));
            return true;
        }
        return thread.offer(nowNanos -> callback.accept(pool.status(workspace, nowNanos)));
    }

    /** Returns the owner of the partition of a workspace for output: an address, "self" or "unknown". */
    String ownerLabel(WorkspaceId workspace) {
        Owner owner = owner(partitions.of(workspace));
        if (owner == null) {
            return "unknown";
        }
        return owner.incarnation == selfIncarnation
                ? "self"
                : owner.address.getHostString() + ':' + owner.address.getPort();
    }

    private void announceAll() {
        for (int partition = 0; partition < owners.length; partition++) {
            announce(partition, storeAvailable && owners[partition] != null);
        }
    }

    private void announce(int partition, boolean present) {
        thread.offerAlways(nowNanos -> pool.changeOwner(partition, present));
    }

    private synchronized Owner owner(int partition) {
        return owners[partition];
    }

    private boolean offer(Event event) {
        if (!started) {
            start();
        }
        return thread.offer(event);
    }

    /** Stops the thread; later requests are refused. */
    void close() {
        thread.close();
    }

    /** Returns whether the thread was started. */
    boolean isStarted() {
        return started;
    }

    private synchronized void start() {
        if (!started) {
            announceAll();
            thread.start();
            started = true;
        }
    }

    private void handle(Event event) {
        long nowNanos = System.nanoTime();
        event.apply(nowNanos);
        scheduleTick(nowNanos);
    }

    private void tick(long nowNanos) {
        if (nowNanos - maintenanceNanos >= TICK_INTERVAL_NANOS) {
            maintenanceNanos = nowNanos;
            pool.replaceDaemonCount(1 + peers.get().size());
            ledgers.values().forEach(owned -> owned.ledger.removeIdle(nowNanos));
        }
        run(pool.tick(nowNanos), nowNanos);
        scheduleTick(nowNanos);
    }

    private void scheduleTick(long nowNanos) {
        long nextNanos = pool.nextTickNanos(nowNanos);
        if (nextNanos != Long.MAX_VALUE) {
            thread.advanceTickTo(nextNanos);
        }
    }

    private void run(List<QuotaAction> actions, long nowNanos) {
        Deque<QuotaAction> pending = new ArrayDeque<>(actions);
        while (!pending.isEmpty()) {
            QuotaAction action = pending.remove();
            if (action instanceof QuotaAction.Admit admitted) {
                decide(admitted.ticket(), new AdmissionDecision.Admit());
            } else if (action instanceof QuotaAction.Refuse refused) {
                meters.countRefusal(refused.reason());
                decide(
                        refused.ticket(),
                        new AdmissionDecision.Refuse(RefusalReason.WORKSPACE_LIMIT, refused.retryAfterMillis()));
            } else if (action instanceof QuotaAction.Ask ask) {
                pending.addAll(ask(ask, nowNanos));
            }
        }
    }

    private void decide(long ticket, AdmissionDecision decision) {
        Consumer<AdmissionDecision> callback = callbacks.remove(ticket);
        if (callback != null) {
            callback.accept(decision);
        }
    }

    /** Sends a request to the owner; returns what follows at once if this daemon is the owner or there is none. */
    private List<QuotaAction> ask(QuotaAction.Ask ask, long nowNanos) {
        ask.requests().forEach(request -> meters.countAsked(request.wanted()));
        Owner owner = owner(ask.partition());
        if (owner == null || owner.incarnation == selfIncarnation) {
            List<QuotaGrant> grants = grants(selfIncarnation, ask.requests(), nowNanos);
            return isAnswered(ask.requests()) ? applied(ask.partition(), grants, nowNanos) : List.of();
        }
        send(QuotaMessages.ofRequests(ask.requests()), owner.address);
        return List.of();
    }

    private void answer(PoolUpdate update, InetSocketAddress from, long nowNanos) {
        List<QuotaRequest> requests = QuotaMessages.requests(update);
        List<QuotaGrant> grants = grants(update.getSender(), requests, nowNanos);
        if (isAnswered(requests)) {
            send(QuotaMessages.ofGrants(grants), from);
        }
    }

    /** Returns whether a reply is awaited; a daemon that only returns credits awaits none. */
    private static boolean isAnswered(List<QuotaRequest> requests) {
        return requests.stream().anyMatch(request -> request.wanted() > 0);
    }

    private List<QuotaGrant> grants(long incarnation, List<QuotaRequest> requests, long nowNanos) {
        return requests.stream()
                .map(request -> grant(incarnation, request, nowNanos))
                .toList();
    }

    private QuotaGrant grant(long incarnation, QuotaRequest request, long nowNanos) {
        int partition = partitions.of(request.workspace());
        Option<Long> since = ownedSince.apply(partition);
        if (since.isEmpty()) {
            ledgers.remove(partition);
            return QuotaGrant.notOwner(request.workspace());
        }
        WorkspaceQuota quota = table.get()
                .flatMap(current -> current.workspaces().find(request.workspace()))
                .map(Workspace::quota)
                .getOrElse(WorkspaceQuota.UNLIMITED);
        if (!quota.isLimited()) {
            return new QuotaGrant(request.workspace(), request.wanted(), 0, false, false);
        }
        OwnedLedger owned = ledgers.get(partition);
        if (owned == null || owned.sinceNanos != since.get()) {
            owned = new OwnedLedger(since.get(), new QuotaLedger(since.get()));
            ledgers.put(partition, owned);
        }
        return owned.ledger.grant(incarnation, request, quota, nowNanos);
    }

    private void applyGrants(PoolUpdate update, long nowNanos) {
        List<QuotaGrant> grants = QuotaMessages.grants(update);
        if (!grants.isEmpty()) {
            run(applied(partitions.of(grants.get(0).workspace()), grants, nowNanos), nowNanos);
        }
    }

    private List<QuotaAction> applied(int partition, List<QuotaGrant> grants, long nowNanos) {
        grants.forEach(grant -> meters.countGranted(grant.granted()));
        return pool.applyGrants(partition, grants, nowNanos);
    }

    private void send(PoolUpdate.Builder update, InetSocketAddress recipient) {
        meters.countMessage();
        sender.accept(update, recipient);
    }

    private record Owner(long incarnation, InetSocketAddress address) {
        private static Owner of(DaemonEntry entry) {
            return new Owner(entry.getIncarnation(), new InetSocketAddress(entry.getHost(), entry.getPeerPort()));
        }
    }

    private record OwnedLedger(long sinceNanos, QuotaLedger ledger) {}
}
