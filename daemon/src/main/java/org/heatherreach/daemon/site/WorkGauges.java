package org.heatherreach.daemon.site;

import io.micrometer.core.instrument.MeterRegistry;
import org.heatherreach.transport.http.PooledScheduler;

/** The gauges of the estimates of work. Stateless and safe for use by any thread. */
final class WorkGauges {
    private WorkGauges() {}

    /** Registers the gauges; the registry does not keep the scheduler alive. */
    static void register(MeterRegistry registry, PooledScheduler scheduler) {
        registry.gauge(
                "heatherreach.work.estimate.error",
                scheduler,
                source -> source.workStatus().meanError());
        registry.gauge(
                "heatherreach.work.left.seconds",
                scheduler,
                source -> source.workStatus().leftSeconds());
        registry.gauge(
                "heatherreach.work.keys",
                scheduler,
                source -> source.workStatus().keys());
    }
}
