package org.heatherreach.transport.http;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.heatherreach.coordination.admission.RetryBudget;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.state.id.ServiceId;

/** The retry budgets of all services. Safe for use by any thread. */
final class RetryBudgets {
    private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

    /** Returns the requests and retries of each service in the window of its budget. */
    Map<ServiceId, RetryUsage> usage(long nowNanos) {
        Map<ServiceId, RetryUsage> usage = new HashMap<>();
        budgets.forEach((service, budget) -> usage.put(service, budget.usage(nowNanos)));
        return usage;
    }

    RetryBudget of(ServiceId service, long nowNanos) {
        RetryBudget budget = budgets.get(service);
        return budget != null ? budget : budgets.computeIfAbsent(service, key -> new RetryBudget(nowNanos));
    }
}
