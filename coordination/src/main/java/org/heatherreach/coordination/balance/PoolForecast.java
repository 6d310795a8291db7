package org.heatherreach.coordination.balance;

import java.util.List;
import java.util.Objects;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.outcome.RefusalReason;

/**
 * What a pool would decide on a request, under the assumption that requests ahead of it still find no server. Immutable
 * and safe for use by any thread.
 *
 * @param costs the cost of each server without its random part, the cheapest usable server first
 * @param candidates the servers that may be chosen, the cheapest first: their costs differ by less than the random part;
 *     empty if the request would wait or be refused
 * @param waitingAhead the number of waiting requests that would get a server first
 * @param refusal the refusal; empty if the request would be dispatched or would wait
 */
public record PoolForecast(
        List<ServerCost> costs, List<ServerId> candidates, int waitingAhead, Option<Refusal> refusal) {
    /** Creates a forecast. */
    public PoolForecast {
        costs = List.copyOf(costs);
        candidates = List.copyOf(candidates);
        Objects.requireNonNull(refusal, "refusal");
    }

    /** Returns the forecast of a request that is refused whatever the servers are. */
    public static PoolForecast refused(Refusal refusal) {
        return new PoolForecast(List.of(), List.of(), 0, Option.some(refusal));
    }

    /**
     * A refusal. The delay after which the caller should retry is random.
     *
     * @param reason the reason
     * @param minRetryMillis the shortest delay
     * @param maxRetryMillis the longest delay; 0 if none is stated
     */
    public record Refusal(RefusalReason reason, long minRetryMillis, long maxRetryMillis) {
        /** Creates a refusal. */
        public Refusal {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
