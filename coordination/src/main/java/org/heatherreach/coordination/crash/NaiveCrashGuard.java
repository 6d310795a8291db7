package org.heatherreach.coordination.crash;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.heatherreach.state.id.ServerId;

/**
 * A simple guard for comparison: the daemon itself counts the crashes during which each request was in flight and
 * refuses the request for 15 minutes from the third crash on. It exchanges nothing with other daemons and does not
 * restrict which servers requests are sent to. Confined to one duty thread.
 */
public final class NaiveCrashGuard implements CrashGuard {
    private static final int CRASHES_UNTIL_REFUSAL = 3;

    private final Map<Fingerprint, Integer> crashesByRequest = new HashMap<>();
    private final Map<Fingerprint, Long> refusedDeadlines = new HashMap<>();

    /** Creates a guard that refuses nothing. */
    public NaiveCrashGuard() {}

    @Override
    public boolean refuses(Fingerprint request, long nowNanos) {
        Long deadline = refusedDeadlines.get(request);
        return deadline != null && nowNanos - deadline < 0;
    }

    @Override
    public boolean mayPlace(Fingerprint request, ServerId server, long nowNanos) {
        return true;
    }

    @Override
    public Optional<CrashReport> noteCrash(ServerId server, List<Fingerprint> inFlight, long nowNanos) {
        for (Fingerprint request : inFlight) {
            if (crashesByRequest.merge(request, 1, Integer::sum) >= CRASHES_UNTIL_REFUSAL) {
                refusedDeadlines.put(request, nowNanos + CrashLog.VALID_NANOS);
            }
        }
        return Optional.empty();
    }

    @Override
    public Optional<SuspectUpdate> noteCompletion(Fingerprint request, long nowNanos) {
        return Optional.empty();
    }

    @Override
    public void apply(SuspectUpdate update, long nowNanos) {
        // This guard ignores the findings of the owner.
    }
}
