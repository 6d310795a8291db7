package org.heatherreach.coordination.crash;

import java.util.List;
import java.util.Optional;

import org.heatherreach.state.id.ServerId;

/**
 * Decides for one daemon which requests are refused or restricted because they may crash servers. Confined to one duty
 * thread. Implementations act either on the daemon's own observations alone or on the findings of the service's owner.
 */
public interface CrashGuard {
    /** Returns whether a request is refused because it has been identified as crashing servers. */
    boolean refuses(Fingerprint request, long nowNanos);

    /** Returns whether a request may be sent to a server now. */
    boolean mayPlace(Fingerprint request, ServerId server, long nowNanos);

    /** Records that a server crashed with these requests of this daemon in flight; returns the report for the owner. */
    Optional<CrashReport> noteCrash(ServerId server, List<Fingerprint> inFlight, long nowNanos);

    /** Records that a request completed normally; returns the update for the owner if the request was suspected. */
    Optional<SuspectUpdate> noteCompletion(Fingerprint request, long nowNanos);

    /** Applies an update from the owner. */
    void apply(SuspectUpdate update, long nowNanos);
}
