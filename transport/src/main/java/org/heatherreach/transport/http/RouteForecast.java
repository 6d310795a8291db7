package org.heatherreach.transport.http;

import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.PoolForecast;

/**
 * What the scheduler would decide on a request. Immutable and safe for use by any thread.
 *
 * @param pool the decision of the pool of the service
 * @param expectedWorkMillis the expected work of the request; empty if loads are not measured by it
 * @param workIsLearned whether enough requests have completed for an estimate
 */
public record RouteForecast(PoolForecast pool, Option<Double> expectedWorkMillis, boolean workIsLearned) {
    /** Creates a forecast. */
    public RouteForecast {
        Objects.requireNonNull(pool, "pool");
        Objects.requireNonNull(expectedWorkMillis, "expectedWorkMillis");
    }
}
