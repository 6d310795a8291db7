package org.heatherreach.coordination.health;

import java.util.List;
import java.util.Set;

import org.heatherreach.state.id.IncarnationId;

/**
 * The decisions of the owner of a service part in one tick. Immutable and safe for use by any thread.
 *
 * @param verdicts the verdicts to send to every daemon that uses the service part; empty if there is nothing to send
 * @param outliers the observers whose evidence is ignored and that have to be notified of it
 * @param actions the changes since the previous tick, for logs and counters
 */
public record DetectionResult(List<Verdict> verdicts, Set<IncarnationId> outliers, List<HealthAction> actions) {
    /** Creates a result. */
    public DetectionResult {
        verdicts = List.copyOf(verdicts);
        outliers = Set.copyOf(outliers);
        actions = List.copyOf(actions);
    }

    /** Returns whether a message has to be sent to the given receiver. */
    public boolean hasMessageFor(IncarnationId receiver) {
        return !verdicts.isEmpty() || outliers.contains(receiver);
    }
}
