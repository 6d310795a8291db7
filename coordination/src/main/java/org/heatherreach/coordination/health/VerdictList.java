package org.heatherreach.coordination.health;

import java.util.List;
import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * The verdicts that an owner sends to one daemon. Immutable and safe for use by any thread.
 *
 * @param service the service
 * @param part the part of the service
 * @param verdicts the verdicts in force and those lifted recently
 * @param receiverIsOutlier whether the owner ignores the receiver's evidence because the receiver is faulty
 */
public record VerdictList(ServiceId service, int part, List<Verdict> verdicts, boolean receiverIsOutlier) {
    /** Creates a list. */
    public VerdictList {
        Objects.requireNonNull(service, "service");
        verdicts = List.copyOf(verdicts);
    }
}
