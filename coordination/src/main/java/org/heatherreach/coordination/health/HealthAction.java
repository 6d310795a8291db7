package org.heatherreach.coordination.health;

import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;

/**
 * A change that a daemon has to carry out or log because of a health decision. Immutable and safe for use by any
 * thread.
 */
public sealed interface HealthAction {
    /**
     * The share of traffic of a server changed.
     *
     * @param server the server
     * @param beforePercent the share until now
     * @param afterPercent the share from now on
     * @param evidence the reason
     */
    record ChangeShare(ServerId server, int beforePercent, int afterPercent, String evidence) implements HealthAction {}

    /**
     * An ejection or restriction was not applied because the floor does not allow it.
     *
     * @param server the server
     * @param evidence the reason for the ejection or restriction
     */
    record WithholdEjection(ServerId server, String evidence) implements HealthAction {}

    /** The owner ignores the evidence of this daemon because it contradicts the evidence of other daemons. */
    record ReportSelfFaulty() implements HealthAction {}

    /**
     * The owner starts or stops ignoring the evidence of an observer.
     *
     * @param observer the daemon that reported the evidence
     * @param ignored whether its evidence is ignored from now on
     */
    record ChangeObserver(IncarnationId observer, boolean ignored) implements HealthAction {}
}
