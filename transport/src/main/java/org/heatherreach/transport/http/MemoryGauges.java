package org.heatherreach.transport.http;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

/** Registers the meters of a memory budget. Stateless. */
public final class MemoryGauges {
    private MemoryGauges() {}

    /** Registers the gauges of the size and the use of a budget, and the counters of its decisions. */
    public static void register(MeterRegistry registry, MemoryBudget budget) {
        registry.gauge("heatherreach.memory.budget.bytes", budget, MemoryBudget::capacityBytes);
        registry.gauge("heatherreach.memory.used.bytes", budget, MemoryBudget::usedBytes);
        FunctionCounter.builder("heatherreach.memory.unbuffered", budget, MemoryBudget::unbuffered)
                .register(registry);
    }
}
