package org.heatherreach.daemon.fleet;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.coordination.health.HealthAction;
import org.heatherreach.coordination.owner.PartId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.ServerId;
import org.jboss.logging.Logger;

/**
 * Logs and counts changes of the state of servers and of daemons as observers, and keeps the evidence for the status.
 *
 * <p>Invariant: each change is logged once and counted once. Confined to the thread of the health duty.
 */
final class HealthChanges {
    private static final Logger LOG = Logger.getLogger(HealthDuty.class);

    /** The owner repeats its verdicts each second; withheld and faulty states expire after three lost repetitions. */
    private static final long VERDICT_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final MeterRegistry registry;

    HealthChanges(MeterRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
        for (Change change : Change.values()) {
            counterOf(change);
        }
    }

    /** A change of the state of a server or of a daemon as an observer. Each constant has its own counter. */
    private enum Change {
        EJECTED,
        RESTRICTED,
        READMITTED,
        WITHHELD,
        LEAVING,
        RETURNED,
        SELF_FAULTY,
        SELF_TRUSTED,
        OBSERVER_IGNORED,
        OBSERVER_HEARD;

        private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');

        private static Change ofShare(int sharePercent) {
            if (sharePercent == 0) {
                return EJECTED;
            }
            return sharePercent == 100 ? READMITTED : RESTRICTED;
        }
    }

    /** Records the decisions of a part. */
    void recordActions(HealthService service, HealthPart part, List<HealthAction> actions, long nowNanos) {
        for (HealthAction action : actions) {
            if (action instanceof HealthAction.ChangeShare change) {
                recordShare(service, change);
            } else if (action instanceof HealthAction.WithholdEjection withhold) {
                recordWithheld(service, withhold, nowNanos);
            } else if (action instanceof HealthAction.ReportSelfFaulty) {
                recordSelfFaulty(part, nowNanos);
            }
        }
    }

    /** Records that the owner of a part uses the evidence of this daemon again. */
    void recordSelfTrusted(PartId part) {
        count(Change.SELF_TRUSTED);
        LOG.infof("The owner of %s uses the evidence of this daemon again", part);
    }

    /** Records whether this daemon, as the owner of a part, ignores the evidence of an observer. */
    void recordObserver(PartId part, IncarnationId observer, boolean ignored) {
        count(ignored ? Change.OBSERVER_IGNORED : Change.OBSERVER_HEARD);
        LOG.infof("The evidence of daemon %s on %s is %s", observer, part, ignored ? "ignored" : "used again");
    }

    /** Records that a server is leaving. */
    void recordLeaving(HealthService service, ServerId server) {
        recordStateChange(service, server, Change.LEAVING, "gets no new work because it is leaving");
    }

    /** Records that a server that was leaving is not leaving any more. */
    void recordReturned(HealthService service, ServerId server) {
        recordStateChange(service, server, Change.RETURNED, "gets work again because it is no longer leaving");
    }

    private void recordShare(HealthService service, HealthAction.ChangeShare change) {
        Change kind = Change.ofShare(change.afterPercent());
        service.withheldDeadlines().remove(change.server());
        recordStateChange(
                service,
                change.server(),
                kind,
                kind.label + ", share from " + change.beforePercent() + " to " + change.afterPercent() + " %: "
                        + change.evidence());
    }

    private void recordWithheld(HealthService service, HealthAction.WithholdEjection withhold, long nowNanos) {
        service.withheldDeadlines().put(withhold.server(), nowNanos + VERDICT_EXPIRY_NANOS);
        recordStateChange(
                service,
                withhold.server(),
                Change.WITHHELD,
                "not ejected because of the floor: " + withhold.evidence());
    }

    private void recordSelfFaulty(HealthPart part, long nowNanos) {
        if (part.markFaulty(nowNanos + VERDICT_EXPIRY_NANOS)) {
            count(Change.SELF_FAULTY);
            LOG.warnf("The owner of %s ignores the evidence of this daemon as faulty", part.id());
        }
    }

    private void recordStateChange(HealthService service, ServerId server, Change change, String text) {
        count(change);
        service.recordStateChange(server, text);
        LOG.infof("Server %s of service %s: %s", server, service.id(), text);
    }

    private void count(Change change) {
        counterOf(change).increment();
    }

    private Counter counterOf(Change change) {
        return registry.counter("heatherreach.health.changes", "change", change.label);
    }
}
