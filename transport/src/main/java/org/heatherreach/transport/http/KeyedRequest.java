package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.id.ServiceId;

/**
 * A request with an execution key, which must run at most once. Immutable and safe for use by any thread.
 *
 * @param key the execution key as the caller sent it
 * @param service the service
 * @param fingerprint the hash of method, path and body; requests with the same key must have the same hash
 * @param deadlineNanos the deadline on the clock of {@link System#nanoTime}
 * @param forwarded whether another daemon forwarded the request; a forwarded request must not be forwarded again
 */
public record KeyedRequest(String key, ServiceId service, long fingerprint, long deadlineNanos, boolean forwarded) {
    /** Creates a request. */
    public KeyedRequest {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(service, "service");
    }
}
