package org.heatherreach.coordination.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetProperties {
    // Guards against more retries than 10 % of the requests of the last 10 s, which would amplify an overload.
    @Property(seed = "77", tries = 300)
    void retriesNeverExceedTheBudget(@ForAll @Size(max = 400) List<@IntRange(min = 0, max = 999) Integer> steps) {
        long nowNanos = -5_000_000_000L;
        RetryBudget budget = new RetryBudget(nowNanos);
        Deque<Long> requests = new ArrayDeque<>();
        Deque<Long> retries = new ArrayDeque<>();
        for (int step : steps) {
            nowNanos += TimeUnit.MILLISECONDS.toNanos(step % 7 == 0 ? step : step % 20);
            long windowStart = nowNanos - TimeUnit.SECONDS.toNanos(10);
            requests.removeIf(time -> time <= windowStart);
            // The window moves in steps of one second, so it is up to one second shorter than 10 s.
            retries.removeIf(time -> time <= windowStart + TimeUnit.SECONDS.toNanos(1));
            if (step % 3 != 0) {
                budget.countRequest(nowNanos);
                requests.add(nowNanos);
            } else if (budget.tryAcquire(nowNanos, 10)) {
                retries.add(nowNanos);
                assertThat(retries.size() * 10).isLessThanOrEqualTo(requests.size());
            }
        }
    }
}
