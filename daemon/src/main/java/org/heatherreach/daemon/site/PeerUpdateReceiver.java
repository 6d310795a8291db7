package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.coordination.work.PeerWork;
import org.heatherreach.protocol.peer.CrashCodec;
import org.heatherreach.protocol.peer.MessageException;
import org.heatherreach.protocol.peer.wire.PoolFailure;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.http.LoadReportSchedule;
import org.heatherreach.transport.http.PoolPeers;
import org.heatherreach.transport.http.PooledScheduler;
import org.heatherreach.transport.peer.PacketHandler;
import org.jboss.logging.Logger;

/**
 * Handles the updates that other daemons send: failures, crashes and loads of servers, retry usage, and how far the
 * daemon has read the store.
 *
 * <p>Thread safety: {@link #receive} is called by the event loop of the socket only, {@link #retries} by any thread.
 */
final class PeerUpdateReceiver implements PacketHandler<PoolUpdate> {
    private static final Logger LOG = Logger.getLogger(PeerUpdateReceiver.class);

    private final PooledScheduler scheduler;
    private final CrashMonitor crashes;
    private final PoolPeers peers;
    private final StoreView view;
    private final TableInUse table;
    private final TableFetcher tableFetcher;
    private final ZoneForwarding forwarding;
    private final PeerLoads loads = new PeerLoads();
    private volatile Map<ServiceId, RetryUsage> retries = Map.of();

    /**
     * Creates a receiver.
     *
     * @param scheduler receives failures and loads
     * @param crashes receives crashes and clearings
     * @param peers supplies the number of peers, which determines how long a report is valid
     * @param view receives the revisions of the store that peers have read
     * @param table receives the versions of the routing tables in use at peers
     * @param tableFetcher receives them with the addresses of the peers
     * @param forwarding forwards the reports of other zones
     */
    PeerUpdateReceiver(
            PooledScheduler scheduler,
            CrashMonitor crashes,
            PoolPeers peers,
            StoreView view,
            TableInUse table,
            TableFetcher tableFetcher,
            ZoneForwarding forwarding) {
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler");
        this.crashes = Objects.requireNonNull(crashes, "crashes");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.view = Objects.requireNonNull(view, "view");
        this.table = Objects.requireNonNull(table, "table");
        this.tableFetcher = Objects.requireNonNull(tableFetcher, "tableFetcher");
        this.forwarding = Objects.requireNonNull(forwarding, "forwarding");
    }

    @Override
    public void receive(PoolUpdate update, InetSocketAddress from) {
        forwarding.forwardIfAsked(update);
        if (forwarding.isCopy(update)) {
            return;
        }
        view.recordPeerRevision(new StoreRevision(update.getStoreEra(), update.getStoreRevision()));
        table.recordPeerVersion(update.getTableVersion());
        forwarding.origin(update, from).forEach(origin -> tableFetcher.recordReport(update.getTableVersion(), origin));
        try {
            update.getFailuresList().forEach(failure -> applyFailure(update.getSender(), failure));
            update.getCrashesList().forEach(report -> crashes.recordCrash(CrashCodec.decode(report)));
            update.getClearedList().forEach(cleared -> crashes.recordCleared(CrashCodec.decode(cleared)));
        } catch (MessageException | IllegalArgumentException e) {
            LOG.warnf("peer=%s state=skipped reason=\"%s\"", from, e.getMessage());
            return;
        }
        if (update.getHasLoads()
                || update.getAnsweredServersCount() > 0
                || update.getRejectingServersCount() > 0
                || update.getRetriesCount() > 0) {
            long validNanos = LoadReportSchedule.validityNanos(peers);
            Map<Integer, Integer> sums = loads.apply(update, from, System.nanoTime(), validNanos);
            retries = loads.retries();
            Map<Integer, PeerWork> work = scheduler.measuresWork() ? loads.work(sums.keySet()) : Map.of();
            scheduler.recordPeerLoads(
                    sums,
                    work,
                    Set.copyOf(update.getAnsweredServersList()),
                    Set.copyOf(update.getRejectingServersList()));
        }
    }

    /** Returns the requests and retries of a service, summed over the other daemons of the zone. */
    RetryUsage retries(ServiceId service) {
        return retries.getOrDefault(service, RetryUsage.NONE);
    }

    private void applyFailure(long sender, PoolFailure failure) {
        PoolResult[] results = PoolResult.values();
        if (failure.getResult() >= 0 && failure.getResult() < results.length) {
            scheduler.recordPeerResult(
                    sender,
                    new ServiceId(failure.getService()),
                    new ServerId(failure.getServer()),
                    failure.getIncarnation(),
                    results[failure.getResult()]);
        }
    }
}
