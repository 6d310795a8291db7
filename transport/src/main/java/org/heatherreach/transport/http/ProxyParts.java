package org.heatherreach.transport.http;

import java.util.Objects;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.transport.metric.RequestMeters;

/**
 * The components of the request path. Immutable; every component is safe for use by any thread.
 *
 * @param dialect maps headers and status codes to requests and outcomes
 * @param mode how failed requests are retried
 * @param limits the limits on requests where the operator sets none
 * @param gate controls whether new requests are accepted
 * @param catalog provides routes and limits
 * @param scheduler selects the server for a request
 * @param keyed ensures that requests with execution keys run at most once; none if keys are not accepted
 * @param observer receives the events of exchanges with servers
 * @param crashFilter identifies requests that are suspected of crashing servers
 * @param meters the metrics of requests
 * @param incarnation the incarnation of this daemon
 * @param requestIds generates request ids
 * @param history stores the most recently ended requests
 * @param admission limits the requests of workspaces
 * @param memory bounds the bytes that are held for requests
 */
public record ProxyParts(
        CallDialect dialect,
        ProxyMode mode,
        ProxyLimits limits,
        ServingGate gate,
        ServiceCatalog catalog,
        RequestScheduler scheduler,
        Option<KeyedExecution> keyed,
        ExchangeObserver observer,
        CrashFilter crashFilter,
        RequestMeters meters,
        IncarnationId incarnation,
        Supplier<RequestId> requestIds,
        RequestHistory history,
        WorkspaceAdmission admission,
        MemoryBudget memory) {
    /** Creates the components. */
    public ProxyParts {
        Objects.requireNonNull(dialect, "dialect");
        Objects.requireNonNull(mode, "mode");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(catalog, "catalog");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(keyed, "keyed");
        Objects.requireNonNull(observer, "observer");
        Objects.requireNonNull(crashFilter, "crashFilter");
        Objects.requireNonNull(meters, "meters");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(requestIds, "requestIds");
        Objects.requireNonNull(history, "history");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(memory, "memory");
    }

    /** Returns the limits that currently apply to callers. */
    ProxyLimits callerLimits() {
        return dialect.callerLimits().map(limits::withCallerLimits).getOrElse(limits);
    }
}
