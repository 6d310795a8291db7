package org.heatherreach.transport.http;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Receives evidence on backend servers. Methods are called by event loops: they return at once, typically after an
 * offer to the ring of a duty. Each {@link #dispatched} is followed by exactly one {@link #ended}.
 */
public interface ExchangeObserver {
    /** An observer that ignores everything. */
    ExchangeObserver NONE = new ExchangeObserver() {
        @Override
        public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

        @Override
        public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {}
    };

    /** A request is about to be sent to a server. */
    void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos);

    /** The head of an answer arrived that is not a load-shedding answer; its body may take long to follow. */
    default void answered(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

    /** The server stated in an answer that it is draining. */
    default void draining(ServiceId service, ServerId server) {}

    /**
     * The exchange ended. {@link FailureKind#TRUNCATED} means that the connection broke while the request was in flight,
     * which is the evidence for a crash.
     */
    void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos);
}
