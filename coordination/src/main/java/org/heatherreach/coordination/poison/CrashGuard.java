package org.heatherreach.coordination.poison;

import java.util.List;
import java.util.Optional;

import org.heatherreach.state.id.ServerId;

/**
 * The decisions of one daemon about requests that may crash servers. Confined to one duty thread.
 * Implementations differ in whether they act alone or on what the owner of the service concludes.
 */
public interface CrashGuard {
    /** Returns whether a request is refused because it is known to crash servers. */
    boolean refuses(Fingerprint request, long nowNanos);

    /** Returns whether a request may be sent to a server now. */
    boolean mayPlace(Fingerprint request, ServerId server, long nowNanos);

    /** Notes that a server crashed with these requests of this daemon in flight; returns what to tell the owner. */
    Optional<CrashReport> crash(ServerId server, List<Fingerprint> inFlight, long nowNanos);

    /** Notes that a request completed normally; returns what to tell the owner. */
    Optional<SuspectUpdate> complete(Fingerprint request, long nowNanos);

    /** Applies an update of the owner. */
    void apply(SuspectUpdate update, long nowNanos);
}
