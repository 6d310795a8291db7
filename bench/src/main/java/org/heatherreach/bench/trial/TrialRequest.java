package org.heatherreach.bench.trial;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.Optional;

import org.heatherreach.standins.BackendTarget;
import org.heatherreach.state.rank.Rank;

/**
 * A request of a trial. Sending it again sends the same bytes. Immutable and safe for use by any thread.
 *
 * @param number distinguishes the requests of a trial
 * @param service the service
 * @param rank the rank
 * @param sizeBytes the size of the response body
 * @param serviceMillis the time that a healthy server takes
 * @param key the execution key, if it must run at most once
 */
public record TrialRequest(
        long number, String service, Rank rank, int sizeBytes, int serviceMillis, Optional<String> key) {
    /** Creates a request. */
    public TrialRequest {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(rank, "rank");
        Objects.requireNonNull(key, "key");
    }

    BackendTarget target() {
        return new BackendTarget("/work/" + number, serviceMillis, sizeBytes);
    }

    String method() {
        return key.isPresent() ? "POST" : "GET";
    }

    byte[] body() {
        return key.isPresent() ? ("booking " + number).getBytes(StandardCharsets.UTF_8) : new byte[0];
    }

    byte[] expectedBody() {
        return target().responseBody(method(), body());
    }
}
