package org.heatherreach.daemon;

import java.util.Map;
import java.util.Objects;
import java.util.function.IntFunction;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vavr.control.Option;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.CrashFilter;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.ExchangeObserver;
import org.heatherreach.transport.http.KeyedExecution;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.RequestScheduler;
import org.heatherreach.transport.http.ServiceCatalog;
import org.heatherreach.transport.http.ServingGate;

/**
 * The components of a daemon's request path. Immutable; every component is safe for use by any thread.
 *
 * @param registry the meter registry
 * @param gate decides whether new requests are accepted
 * @param incarnation identifies this start of the process
 * @param catalog supplies routes and limits
 * @param scheduler selects the server for a request
 * @param addressBook creates the address book, given the port that is bound for callers
 * @param keyed handles requests with execution keys; empty if the daemon does not support them
 * @param observer is notified of exchanges with servers
 * @param crashFilter identifies requests that crash servers
 * @param requestIds generates request ids
 * @param history keeps the most recently completed requests
 * @param endpoints additional endpoints; a key is the method, a space and the path
 */
public record DaemonParts(
        PrometheusMeterRegistry registry,
        ServingGate gate,
        IncarnationId incarnation,
        ServiceCatalog catalog,
        RequestScheduler scheduler,
        IntFunction<AddressBook> addressBook,
        Option<KeyedExecution> keyed,
        ExchangeObserver observer,
        CrashFilter crashFilter,
        RequestIdSource requestIds,
        RequestHistory history,
        Map<String, Endpoint> endpoints) {
    public DaemonParts {
        Objects.requireNonNull(registry, "registry");
        Objects.requireNonNull(gate, "gate");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(catalog, "catalog");
        Objects.requireNonNull(scheduler, "scheduler");
        Objects.requireNonNull(addressBook, "addressBook");
        Objects.requireNonNull(keyed, "keyed");
        Objects.requireNonNull(observer, "observer");
        Objects.requireNonNull(crashFilter, "crashFilter");
        Objects.requireNonNull(requestIds, "requestIds");
        Objects.requireNonNull(history, "history");
        endpoints = Map.copyOf(endpoints);
    }
}
