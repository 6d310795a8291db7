package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.state.table.ServiceLimits;

/**
 * Reports evidence to the owner of the service part and applies the owner's verdicts under the floor.
 * Invariants are those of {@link EvidenceWindow} and {@link EjectionGuard}. Confined to one duty thread.
 */
public final class PooledHealth implements DaemonHealth {
    private final EvidenceWindow window;
    private final EjectionGuard guard;

    /** Creates an instance for one daemon and one service part, without servers. */
    public PooledHealth(ServiceId service, int part, ZoneId zone, ServiceLimits limits) {
        this.window = new EvidenceWindow(service, part, zone);
        this.guard = new EjectionGuard(zone, limits);
    }

    /** Replaces the limits after a change of the table. */
    public List<HealthAction> updateLimits(ServiceLimits limits, long nowNanos) {
        return guard.updateLimits(limits, nowNanos);
    }

    @Override
    public List<HealthAction> updateServers(Collection<ServerId> listed, Set<ServerId> unavailable, long nowNanos) {
        return guard.updateServers(listed, unavailable, nowNanos);
    }

    @Override
    public long begin(ServerId server, long nowNanos) {
        return window.begin(server, nowNanos);
    }

    @Override
    public void responseHeadReceived(long exchangeId, long nowNanos) {
        window.responseHeadReceived(exchangeId, nowNanos);
    }

    @Override
    public void responseBodyReceived(long exchangeId, long nowNanos) {
        window.responseBodyReceived(exchangeId, nowNanos);
    }

    @Override
    public List<HealthAction> complete(long exchangeId, long nowNanos) {
        window.complete(exchangeId, nowNanos);
        return List.of();
    }

    @Override
    public List<HealthAction> fail(long exchangeId, ServerFailure kind, long nowNanos) {
        window.fail(exchangeId, kind, nowNanos);
        return List.of();
    }

    @Override
    public void cancel(long exchangeId, long nowNanos) {
        window.cancel(exchangeId);
    }

    @Override
    public Optional<HealthReport> collectReport(long nowNanos) {
        return window.collectReport(nowNanos);
    }

    @Override
    public List<HealthAction> apply(IncarnationId owner, VerdictList verdicts, long nowNanos) {
        List<HealthAction> actions = new ArrayList<>(guard.apply(owner, verdicts.verdicts(), nowNanos));
        if (verdicts.receiverIsOutlier()) {
            actions.add(new HealthAction.ReportSelfFaulty());
        }
        return actions;
    }

    @Override
    public List<HealthAction> tick(long nowNanos) {
        return guard.tick(nowNanos);
    }

    @Override
    public int sharePercent(ServerId server, long nowNanos) {
        guard.tick(nowNanos);
        return guard.sharePercent(server);
    }
}
