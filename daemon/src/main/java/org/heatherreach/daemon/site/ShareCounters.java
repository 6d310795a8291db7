package org.heatherreach.daemon.site;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.transport.http.PooledScheduler;

/** The counters of requests that were dispatched out of the usual order. Stateless and safe for use by any thread. */
final class ShareCounters {
    private ShareCounters() {}

    /** Registers the counters; the registry does not keep the scheduler alive. */
    static void register(MeterRegistry registry, PooledScheduler scheduler) {
        FunctionCounter.builder(
                        "heatherreach.shares.raised",
                        scheduler,
                        source -> source.shareCounts().raised())
                .register(registry);
        FunctionCounter.builder(
                        "heatherreach.shares.deferred",
                        scheduler,
                        source -> source.shareCounts().deferred())
                .register(registry);
    }
}
