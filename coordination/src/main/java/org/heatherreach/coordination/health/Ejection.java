package org.heatherreach.coordination.health;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * The ejection of one server for one scope: a zone or every zone. Ejected, then readmitted in stages, then lifted.
 * Each further ejection lasts twice as long, up to a bound; the level falls again while the server stays in use.
 * Confined to one duty thread.
 */
final class Ejection {
    static final long BASE_NANOS = TimeUnit.SECONDS.toNanos(10);
    static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(300);

    private static final long STAGE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The lifting is repeated this long, in case a message is lost. */
    private static final long LIFTED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long FORGET_NANOS = TimeUnit.SECONDS.toNanos(300);
    private static final long PROBE_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Verdicts outlast their phase by this, so that a late renewal leaves no gap. */
    private static final long RENEWAL_SLACK_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_LEVEL = 6;

    private enum Phase {
        NONE(100),
        EJECTED(0),
        TENTH(10),
        THIRD(30),
        LIFTED(100);

        private final int sharePercent;

        Phase(int sharePercent) {
            this.sharePercent = sharePercent;
        }
    }

    private Phase phase = Phase.NONE;
    private int level;
    private long phaseDeadlineNanos;
    private long forgetDeadlineNanos;
    private long startNanos;
    private int severity;
    private String evidence = "";

    void start(int newSeverity, String newEvidence, long nowNanos) {
        level = Math.min(MAX_LEVEL, level + 1);
        phase = Phase.EJECTED;
        startNanos = nowNanos;
        phaseDeadlineNanos = nowNanos + Math.min(MAX_NANOS, BASE_NANOS << (level - 1));
        severity = newSeverity;
        evidence = newEvidence;
    }

    /** Moves to the next phase if this one is over, and returns whether it did. */
    boolean advance(boolean probeFails, long nowNanos) {
        if (phase == Phase.NONE) {
            if (level > 0 && nowNanos - forgetDeadlineNanos >= 0) {
                level--;
                forgetDeadlineNanos = nowNanos + FORGET_NANOS;
            }
            return false;
        }
        if (nowNanos - phaseDeadlineNanos < 0) {
            return false;
        }
        switch (phase) {
            case EJECTED -> {
                // A failing probe delays readmission but never beyond the bound; a good probe never hastens it.
                if (probeFails && nowNanos - startNanos < MAX_NANOS) {
                    phaseDeadlineNanos = nowNanos + PROBE_EXTENSION_NANOS;
                    return false;
                }
                enter(Phase.TENTH, STAGE_NANOS, nowNanos);
                severity = 2;
            }
            case TENTH -> {
                enter(Phase.THIRD, STAGE_NANOS, nowNanos);
                severity = 1;
            }
            case THIRD -> lift(nowNanos);
            default -> {
                phase = Phase.NONE;
            }
        }
        return true;
    }

    /** Ends the ejection and takes back its effect on later ones. */
    void excuse(long nowNanos) {
        if (isRestricting()) {
            lift(nowNanos);
            level = Math.max(0, level - 1);
        }
    }

    private void lift(long nowNanos) {
        enter(Phase.LIFTED, LIFTED_NANOS, nowNanos);
        forgetDeadlineNanos = nowNanos + FORGET_NANOS;
    }

    private void enter(Phase next, long lengthNanos, long nowNanos) {
        phase = next;
        phaseDeadlineNanos = nowNanos + lengthNanos;
    }

    boolean isEjected() {
        return phase == Phase.EJECTED;
    }

    boolean isStaged() {
        return phase == Phase.TENTH || phase == Phase.THIRD;
    }

    boolean isRestricting() {
        return isEjected() || isStaged();
    }

    boolean isVisible() {
        return phase != Phase.NONE;
    }

    boolean hasStartedSince(long sinceNanos) {
        return startNanos - sinceNanos >= 0;
    }

    int sharePercent() {
        return phase.sharePercent;
    }

    Verdict toVerdict(ServerId server, Optional<ZoneId> zone, long nowNanos) {
        long validNanos = Math.max(0, phaseDeadlineNanos - nowNanos) + RENEWAL_SLACK_NANOS;
        int validMillis = (int) TimeUnit.NANOSECONDS.toMillis(Math.min(EjectionGuard.MAX_VALID_NANOS, validNanos));
        return new Verdict(server, zone, sharePercent(), validMillis, severity, evidence);
    }
}
