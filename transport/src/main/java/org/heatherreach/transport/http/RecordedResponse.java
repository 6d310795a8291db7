package org.heatherreach.transport.http;

import java.util.Objects;

/**
 * The part of a response that is recorded for an execution key. The body array is shared and never modified.
 *
 * @param statusCode the HTTP status code
 * @param contentType the content type; empty if the response has none
 * @param body the first {@link ProxyLimits#RECORDED_BYTES} bytes of the body
 * @param complete whether {@code body} is the whole body of the response
 */
public record RecordedResponse(int statusCode, String contentType, byte[] body, boolean complete) {
    /** Creates a response. */
    public RecordedResponse {
        Objects.requireNonNull(contentType, "contentType");
        Objects.requireNonNull(body, "body");
    }
}
