package org.heatherreach.coordination.health;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * Decides how much traffic one daemon sends to each server of one service part, from the results of its exchanges.
 * Confined to one duty thread. An implementation relies on the evidence of this daemon alone or on the evidence pooled
 * from all daemons.
 */
public interface DaemonHealth {
    /**
     * Replaces the servers that the daemon may use.
     *
     * @param listed the servers that are listed live, including those that are unavailable
     * @param unavailable listed servers that are leaving or refuse connections
     */
    List<HealthAction> updateServers(Collection<ServerId> listed, Set<ServerId> unavailable, long nowNanos);

    /** Notes that a request is sent to a server and returns the id of the exchange. */
    long begin(ServerId server, long nowNanos);

    /** Notes that the response head arrived. */
    void responseHeadReceived(long exchangeId, long nowNanos);

    /** Notes that a part of the response body arrived. */
    void responseBodyReceived(long exchangeId, long nowNanos);

    /** Notes that the whole response arrived. */
    List<HealthAction> complete(long exchangeId, long nowNanos);

    /** Notes that the exchange failed. */
    List<HealthAction> fail(long exchangeId, ServerFailure kind, long nowNanos);

    /** Notes that the exchange ended for a reason that says nothing about the server, such as a caller that left. */
    void cancel(long exchangeId, long nowNanos);

    /**
     * Returns the evidence since the previous report, for the owner of the service part; empty if there was no traffic.
     * Called every 250 ms.
     */
    Optional<HealthReport> collectReport(long nowNanos);

    /** Applies the verdicts of an owner of the service part. */
    List<HealthAction> apply(IncarnationId owner, VerdictList verdicts, long nowNanos);

    /** Lifts the restrictions that have expired. */
    List<HealthAction> tick(long nowNanos);

    /**
     * Returns the share of its usual traffic that a server may get: 0 if it is ejected, unavailable or not listed, 100
     * if it is not restricted.
     */
    int sharePercent(ServerId server, long nowNanos);
}
