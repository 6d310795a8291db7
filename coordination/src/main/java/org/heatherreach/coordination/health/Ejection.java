package org.heatherreach.coordination.health;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

/**
 * The ejection of one server for one scope, which is a single zone or every zone. The server is ejected, then
 * readmitted in two stages, and then the ejection is lifted. Each further ejection lasts twice as long as the one
 * before, up to a limit; the backoff level falls again while the server stays in use. Confined to one duty thread.
 */
final class Ejection {
    static final long BASE_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(10);
    static final long MAX_EJECTION_NANOS = TimeUnit.SECONDS.toNanos(300);

    private static final long READMISSION_STAGE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** A lifted ejection is still announced for this long, in case a message is lost. */
    private static final long LIFTED_VERDICT_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final long BACKOFF_DECAY_NANOS = TimeUnit.SECONDS.toNanos(300);
    private static final long PROBE_EXTENSION_NANOS = TimeUnit.SECONDS.toNanos(2);
    /** Verdicts stay valid this much longer than their phase, so that a late renewal leaves no gap. */
    private static final long RENEWAL_SLACK_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_BACKOFF_LEVEL = 6;

    private enum Phase {
        NONE(100),
        EJECTED(0),
        FIRST_STAGE(10),
        SECOND_STAGE(30),
        LIFTED(100);

        private final int sharePercent;

        Phase(int sharePercent) {
            this.sharePercent = sharePercent;
        }
    }

    private Phase phase = Phase.NONE;
    private int backoffLevel;
    private long phaseDeadlineNanos;
    private long backoffDecayDeadlineNanos;
    private long startNanos;
    private int severity;
    private String evidence = "";

    void start(int newSeverity, String newEvidence, long nowNanos) {
        backoffLevel = Math.min(MAX_BACKOFF_LEVEL, backoffLevel + 1);
        phase = Phase.EJECTED;
        startNanos = nowNanos;
        phaseDeadlineNanos = nowNanos + Math.min(MAX_EJECTION_NANOS, BASE_EJECTION_NANOS << (backoffLevel - 1));
        severity = newSeverity;
        evidence = newEvidence;
    }

    /** Moves to the next phase if the current one is over, and returns whether the phase changed. */
    boolean advance(boolean probeFailing, long nowNanos) {
        if (phase == Phase.NONE) {
            if (backoffLevel > 0 && nowNanos - backoffDecayDeadlineNanos >= 0) {
                backoffLevel--;
                backoffDecayDeadlineNanos = nowNanos + BACKOFF_DECAY_NANOS;
            }
            return false;
        }
        if (nowNanos - phaseDeadlineNanos < 0) {
            return false;
        }
        switch (phase) {
            case EJECTED -> {
                // A failing probe delays readmission, but not beyond MAX_EJECTION_NANOS. A successful probe does not
                // bring readmission forward.
                if (probeFailing && nowNanos - startNanos < MAX_EJECTION_NANOS) {
                    phaseDeadlineNanos = nowNanos + PROBE_EXTENSION_NANOS;
                    return false;
                }
                enterPhase(Phase.FIRST_STAGE, READMISSION_STAGE_NANOS, nowNanos);
                severity = 2;
            }
            case FIRST_STAGE -> {
                enterPhase(Phase.SECOND_STAGE, READMISSION_STAGE_NANOS, nowNanos);
                severity = 1;
            }
            case SECOND_STAGE -> lift(nowNanos);
            default -> {
                phase = Phase.NONE;
            }
        }
        return true;
    }

    /** Lifts the ejection if it is in force, and undoes its increase of the backoff level. */
    void revoke(long nowNanos) {
        if (isRestricting()) {
            lift(nowNanos);
            backoffLevel = Math.max(0, backoffLevel - 1);
        }
    }

    private void lift(long nowNanos) {
        enterPhase(Phase.LIFTED, LIFTED_VERDICT_NANOS, nowNanos);
        backoffDecayDeadlineNanos = nowNanos + BACKOFF_DECAY_NANOS;
    }

    private void enterPhase(Phase next, long lengthNanos, long nowNanos) {
        phase = next;
        phaseDeadlineNanos = nowNanos + lengthNanos;
    }

    boolean isEjected() {
        return phase == Phase.EJECTED;
    }

    boolean isInReadmission() {
        return phase == Phase.FIRST_STAGE || phase == Phase.SECOND_STAGE;
    }

    boolean isRestricting() {
        return isEjected() || isInReadmission();
    }

    boolean hasVerdict() {
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
