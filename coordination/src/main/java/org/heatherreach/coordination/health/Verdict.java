package org.heatherreach.coordination.health;

import java.util.Objects;
import java.util.Optional;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * What the owner of a service part decided about one server. Immutable and safe for use by any thread.
 * Invariants: the share lies in 0 to 100, validity and severity are not negative.
 *
 * @param server the server
 * @param observerZone the only zone whose daemons are concerned; empty for every zone
 * @param sharePercent the share of its usual traffic that the server may get; 0 ejects, 100 lifts an ejection
 * @param validMillis the time after which the verdict expires unless it is renewed
 * @param severity larger is worse; if the floor does not allow every ejection, larger severities take precedence
 * @param evidence the reason, for operators
 */
public record Verdict(
        ServerId server,
        Optional<ZoneId> observerZone,
        int sharePercent,
        int validMillis,
        int severity,
        String evidence) {
    /**
     * Creates a verdict.
     *
     * @throws IllegalArgumentException if a number is out of range
     */
    public Verdict {
        Objects.requireNonNull(server, "server");
        Objects.requireNonNull(observerZone, "observerZone");
        Objects.requireNonNull(evidence, "evidence");
        if (sharePercent < 0 || sharePercent > 100 || validMillis < 0 || severity < 0) {
            throw new IllegalArgumentException("share, validity or severity out of range");
        }
    }
}
