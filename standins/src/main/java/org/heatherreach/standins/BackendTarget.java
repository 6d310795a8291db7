package org.heatherreach.standins;

import java.util.Objects;

/**
 * The target of a request to the backend stand-in, whose query says what the response shall be. Immutable and safe for
 * use by any thread.
 *
 * @param path the path
 * @param serviceMillis the time that a healthy server takes
 * @param sizeBytes the size of the response body
 */
public record BackendTarget(String path, int serviceMillis, int sizeBytes) {
    /**
     * Creates a target.
     *
     * @throws IllegalArgumentException if the time or the size is negative
     */
    public BackendTarget {
        Objects.requireNonNull(path, "path");
        if (serviceMillis < 0 || sizeBytes < 0) {
            throw new IllegalArgumentException("time and size must not be negative");
        }
    }

    /** Returns the body that the stand-in responds with. */
    public byte[] responseBody(String method, byte[] requestBody) {
        return ResponseBody.of(method, toString(), requestBody, sizeBytes);
    }

    /** Returns the target as it stands in a request line. */
    @Override
    public String toString() {
        return path + "?size=" + sizeBytes + "&service_ms=" + serviceMillis;
    }
}
