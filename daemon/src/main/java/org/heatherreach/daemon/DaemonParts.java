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
 * What the request path of a daemon is built from. Immutable; every part is safe for use by any thread.
 *
 * @param registry the counters
 * @param gate whether new requests are taken
 * @param incarnation the process start
 * @param catalog routes and limits
 * @param scheduler decides which server runs a request
 * @param addressBook makes the address book, given the bound port for callers
 * @param keyed guards requests with execution keys, if that part is present
 * @param observer receives evidence on servers
 * @param crashFilter knows requests that crash servers
 * @param requestIds draws a new request id
 * @param history keeps the last requests that ended
 * @param endpoints further endpoints, by method, a space and the path
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
    /** Creates the parts. */
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
