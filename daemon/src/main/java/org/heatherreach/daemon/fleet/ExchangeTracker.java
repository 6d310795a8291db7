package org.heatherreach.daemon.fleet;

import java.util.Map;
import java.util.Objects;

import org.heatherreach.coordination.crash.Fingerprint;
import org.heatherreach.coordination.health.PooledHealth;
import org.heatherreach.coordination.health.ServerFailure;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.FailureKind;

/**
 * Turns the exchanges with servers into evidence on their health and on crashes.
 *
 * <p>Invariant: the end of an exchange is recorded even if its start was not. Confined to the thread of the health duty.
 */
final class ExchangeTracker {
    private final Map<ServiceId, HealthService> services;
    private final CrashTracker crashTracker;

    /**
     * Creates a tracker.
     *
     * @param services the services by id; the duty adds and removes entries
     */
    ExchangeTracker(Map<ServiceId, HealthService> services, CrashTracker crashTracker) {
        this.services = Objects.requireNonNull(services, "services");
        this.crashTracker = Objects.requireNonNull(crashTracker, "crashTracker");
    }

    /** Records that a request was dispatched. */
    void begin(ServiceId id, HealthService.ExchangeKey key, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(key.server());
        if (part == null) {
            return;
        }
        service.recordTraffic(key.server(), nowNanos);
        service.crashDetector().connectionOpened(key.server());
        service.addExchange(
                key, new HealthService.OpenExchange(part.health(), part.health().begin(key.server(), nowNanos)));
    }

    /** Records that the head of a response was received. */
    void responseHeadReceived(ServiceId id, HealthService.ExchangeKey key, long nowNanos) {
        HealthService service = services.get(id);
        HealthService.OpenExchange exchange = service == null ? null : service.findUnanswered(key);
        if (exchange != null) {
            exchange.responseHeadReceived(nowNanos);
        }
    }

    /** Records the end of an exchange. */
    void end(ServiceId id, HealthService.ExchangeKey key, ExchangeResult result, long nowNanos) {
        HealthService service = services.get(id);
        HealthPart part = service == null ? null : service.partOf(key.server());
        if (part == null) {
            return;
        }
        HealthService.OpenExchange exchange = service.removeExchange(key);
        boolean beginRecorded = exchange != null;
        if (!beginRecorded) {
            // A full ring refused the event for the start of the exchange.
            long beginNanos = nowNanos - result.latencyNanos();
            exchange =
                    new HealthService.OpenExchange(part.health(), part.health().begin(key.server(), beginNanos));
            service.recordTraffic(key.server(), nowNanos);
        }
        record(exchange, result.failure(), nowNanos);
        Fingerprint request = new Fingerprint(key.fingerprint());
        if (beginRecorded) {
            crashTracker.exchangeEnded(service, key.server(), request, result.failure(), nowNanos);
        }
        if (result.failure() == FailureKind.NONE || result.failure() == FailureKind.ERROR) {
            crashTracker.requestCompleted(service, request, nowNanos);
        }
    }

    private static void record(HealthService.OpenExchange exchange, FailureKind failure, long nowNanos) {
        PooledHealth health = exchange.health();
        switch (failure) {
            case NONE -> health.complete(exchange.number(), nowNanos);
            case ERROR, INVALID -> fail(exchange, ServerFailure.ERROR, nowNanos);
            case TRUNCATED -> fail(exchange, ServerFailure.TRUNCATED, nowNanos);
            case STALLED -> fail(exchange, ServerFailure.STALLED, nowNanos);
            case CONNECT -> fail(exchange, ServerFailure.CONNECT, nowNanos);
            // A shed request was not executed, so its short latency is no evidence of the speed of the server.
            default -> health.cancel(exchange.number(), nowNanos);
        }
    }

    private static void fail(HealthService.OpenExchange exchange, ServerFailure kind, long nowNanos) {
        exchange.health().fail(exchange.number(), kind, nowNanos);
    }
}
