package org.heatherreach.daemon.site;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.coordination.quota.QuotaPartitions;
import org.heatherreach.coordination.quota.QuotaStatus;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.WorkspaceId;
import org.heatherreach.transport.http.WorkspaceAdmission;
import org.heatherreach.transport.kv.KeyFollower;
import org.heatherreach.transport.kv.KeyValueStore;
import org.heatherreach.transport.peer.PacketHandler;
import org.jboss.logging.Logger;

/** The quotas of a daemon: ownership in the store and the duty that uses it. Safe for use by any thread. */
final class SiteQuotas {
    private static final Logger LOG = Logger.getLogger(SiteQuotas.class);
    /** Credits that are valid for 400 ms exceed the permitted 10 % of a shorter window. */
    private static final long MIN_WINDOW_MILLIS = 5000;

    private final QuotaDuty duty;
    private final QuotaOwnership ownership;

    /**
     * Creates the parts; nothing is sent or written before the routing table has a limited workspace.
     *
     * @param store the store
     * @param daemons supplies the lease and the listed daemons
     * @param table supplies the limits
     * @param sender sends datagrams to other daemons
     * @param nanoClock the monotonic clock
     */
    SiteQuotas(
            QuotaSettings settings,
            KeyValueStore store,
            DaemonRegistry daemons,
            TableInUse table,
            PeerUpdateSender sender,
            MeterRegistry meters,
            LongSupplier nanoClock) {
        if (settings.windowMillis() < MIN_WINDOW_MILLIS) {
            LOG.warnf("quota-window-ms=%d state=too-short, limits hold in windows of 5 s", settings.windowMillis());
        }
        QuotaPartitions partitions = new QuotaPartitions(settings.partitions());
        duty = new QuotaDuty(
                partitions,
                daemons.selfEntry().getIncarnation(),
                this::ownedSince,
                table::table,
                daemons::peers,
                sender::send,
                new QuotaMeters(meters));
        ownership = new QuotaOwnership(
                store,
                daemons,
                settings.partitions(),
                new LimitedPartitions(table::table, partitions),
                nanoClock,
                duty);
        meters.gauge("heatherreach.quota.partitions.owned", ownership, QuotaOwnership::ownedCount);
    }

    private Option<Long> ownedSince(int partition) {
        return ownership.ownedSince(partition);
    }

    /** Returns what the request path asks for credits; everything is admitted if quotas are not enforced. */
    static WorkspaceAdmission admission(Option<SiteQuotas> quotas) {
        return quotas.<WorkspaceAdmission>map(enforced -> enforced.duty).getOrElse(WorkspaceAdmission.NONE);
    }

    /**
     * Returns a handler of updates of peers that takes their requests and grants, if quotas are enforced, and passes each
     * update on. A forwarded update has the address of another daemon than the sender, so its requests can't be replied to.
     */
    static PacketHandler<PoolUpdate> receiveBefore(PacketHandler<PoolUpdate> next, Option<SiteQuotas> quotas) {
        return quotas.<PacketHandler<PoolUpdate>>map(enforced -> (update, from) -> {
                    if (!update.hasForward()) {
                        enforced.ownership.recordAnnouncement(update);
                        enforced.duty.receive(update, from);
                    }
                    next.receive(update, from);
                })
                .getOrElse(next);
    }

    /** Asks what is known of the quota of a workspace, see {@link QuotaDuty#explain}. */
    boolean explain(WorkspaceId workspace, Consumer<QuotaStatus> callback) {
        return duty.explain(workspace, callback);
    }

    /** Returns the owner of the quota of a workspace for output. */
    String ownerLabel(WorkspaceId workspace) {
        return duty.ownerLabel(workspace);
    }

    /** Adds the listener of the keys of owners. */
    void follow(Map<String, KeyFollower.Listener> listenersByPrefix) {
        listenersByPrefix.put(QuotaOwnership.PREFIX, ownership);
    }

    /** Tries to own partitions without an owner; called about ten times a second. */
    void check() {
        ownership.check();
    }

    /** Stops the duty after the last request has ended. */
    void close() {
        duty.close();
    }

    /** Gives up the partitions of this daemon before it ends. */
    void release() {
        ownership.release();
    }
}
