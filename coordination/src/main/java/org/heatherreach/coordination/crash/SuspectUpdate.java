package org.heatherreach.coordination.crash;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * Changes to the suspects of a service, sent by the owner to all daemons, or by a daemon to the owner when a suspect
 * has completed normally. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param suspects the changed entries
 */
public record SuspectUpdate(ServiceId service, List<Suspect> suspects) {
    /** Creates an update. */
    public SuspectUpdate {
        Objects.requireNonNull(service, "service");
        suspects = List.copyOf(suspects);
    }
}
