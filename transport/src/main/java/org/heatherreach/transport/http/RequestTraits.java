package org.heatherreach.transport.http;

import java.util.Objects;

/**
 * What is known of a request before it runs and may tell how much work it is. Immutable and safe for use by any thread.
 *
 * @param route the name of the route; empty if unknown
 * @param method the HTTP method; empty if unknown
 * @param bodyBytes the length of the body; negative if it is not known before the body has arrived
 */
public record RequestTraits(String route, String method, long bodyBytes) {
    /** Nothing is known. */
    public static final RequestTraits UNKNOWN = new RequestTraits("", "", -1);

    /** Creates traits. */
    public RequestTraits {
        Objects.requireNonNull(route, "route");
        Objects.requireNonNull(method, "method");
    }
}
