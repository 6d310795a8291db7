package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.admission.RetryHint;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * Refuses requests of one pool.
 *
 * <p>Invariant: a refused request does not wait any more, and the rule of the pool has been told of it.
 *
 * <p>Confined to one duty thread.
 */
final class PoolRefusals {
    private final AdmissionRule admission;
    private final WaitingRequests waiting;
    private final ShareRule rule;
    private final RetryHint retryHint;

    PoolRefusals(AdmissionRule admission, WaitingRequests waiting, ShareRule rule, RetryHint retryHint) {
        this.admission = Objects.requireNonNull(admission, "admission");
        this.waiting = Objects.requireNonNull(waiting, "waiting");
        this.rule = Objects.requireNonNull(rule, "rule");
        this.retryHint = Objects.requireNonNull(retryHint, "retryHint");
    }

    /** Refuses a request that got no server on its arrival if it would wait in vain; it must not be among the waiting. */
    Option<PoolAction> onArrival(PoolRequest request, long nowNanos) {
        return admission.refusalOf(request, nowNanos).map(terms -> refuse(request, terms));
    }

    /** Returns how a request that gets no server on its arrival would be refused; it must not be among the waiting. */
    Option<PoolForecast.Refusal> forecast(PoolRequest request, long nowNanos) {
        return admission.refusalOf(request, nowNanos).map(terms -> terms.toForecast(request, retryHint));
    }

    /** Refuses the waiting requests that cannot be served before their deadlines. */
    List<PoolAction> late(long nowNanos) {
        List<PoolAction> actions = new ArrayList<>();
        if (waiting.isEmpty()) {
            return actions;
        }
        long useNanos = admission.earliestUseNanos(nowNanos);
        for (PoolRequest request : waiting.inOrder()) {
            if (admission.isLate(request, useNanos)) {
                waiting.remove(request);
                long quietNanos = useNanos - nowNanos;
                RefusalTerms terms = retryHint.followsWait()
                        ? admission.lateTermsAfterQueue(quietNanos)
                        : admission.lateTerms(quietNanos);
                actions.add(refuse(request, terms));
            }
        }
        return actions;
    }

    /** Refuses all waiting requests. */
    List<PoolAction> all(RefusalReason reason) {
        List<PoolAction> actions = new ArrayList<>();
        for (PoolRequest request : waiting.inOrder()) {
            rule.leave(request);
            actions.add(new PoolAction.Refuse(request.ticket(), reason, retryHint.randomDelayMillis(0)));
        }
        waiting.clear();
        return actions;
    }

    private PoolAction refuse(PoolRequest request, RefusalTerms terms) {
        rule.refuse(request);
        return terms.refuse(request, retryHint);
    }
}
