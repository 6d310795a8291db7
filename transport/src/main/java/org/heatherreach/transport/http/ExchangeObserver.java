package org.heatherreach.transport.http;

import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Receives events of exchanges with backend servers, as evidence of their health. Methods are called on event loops and
 * must return immediately, typically after an offer to the ring of a duty. Each {@link #dispatched} is followed by
 * exactly one {@link #ended}.
 */
public interface ExchangeObserver {
    /** An observer that ignores all events. */
    ExchangeObserver NONE = new ExchangeObserver() {
        @Override
        public void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

        @Override
        public void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos) {}
    };

    /** A request is about to be sent to a server. */
    void dispatched(ServiceId service, ServerId server, long fingerprint, long nowNanos);

    /** The head of a response other than a load-shedding response arrived; its body may take long to follow. */
    default void answered(ServiceId service, ServerId server, long fingerprint, long nowNanos) {}

    /** The server indicated in a response that it is draining. */
    default void draining(ServiceId service, ServerId server) {}

    /**
     * The exchange ended. {@link FailureKind#TRUNCATED} means that the connection failed while the request was in
     * flight, which is evidence of a crash, and so is {@link FailureKind#INVALID}.
     */
    void ended(ServiceId service, ServerId server, long fingerprint, ExchangeResult result, long nowNanos);
}
