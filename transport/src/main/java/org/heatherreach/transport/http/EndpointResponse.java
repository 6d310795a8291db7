package org.heatherreach.transport.http;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A response of one of the daemon's own endpoints. The body array is shared and never modified.
 *
 * @param statusCode the HTTP status code
 * @param contentType the content type
 * @param body the body
 */
public record EndpointResponse(int statusCode, String contentType, byte[] body) {
    /** Creates a response. */
    public EndpointResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }

    /** Returns a response with a JSON body. */
    public static EndpointResponse json(int statusCode, String text) {
        return new EndpointResponse(statusCode, "application/json", text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a response with a plain text body. */
    public static EndpointResponse text(int statusCode, String text) {
        return new EndpointResponse(statusCode, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }
}
