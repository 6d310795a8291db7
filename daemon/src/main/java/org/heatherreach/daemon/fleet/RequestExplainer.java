package org.heatherreach.daemon.fleet;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherreach.daemon.RequestIdSource;
import org.heatherreach.transport.http.EndedRequest;
import org.heatherreach.transport.http.ExchangeResult;
import org.heatherreach.transport.http.RequestHistory;
import org.heatherreach.transport.http.ServerAttempt;

/** Describes the most recent requests of this daemon that have ended. Safe for use by any thread. */
final class RequestExplainer {
    private static final double NANOS_PER_MILLI = 1e6;

    private final ObjectMapper mapper = new ObjectMapper();
    private final RequestIdSource requestIds;
    private final RequestHistory history;

    RequestExplainer(RequestIdSource requestIds, RequestHistory history) {
        this.requestIds = Objects.requireNonNull(requestIds, "requestIds");
        this.history = Objects.requireNonNull(history, "history");
    }

    /** Returns the requests in the history with this id, the newest first; empty if there is none. */
    ArrayNode explain(String id) {
        ArrayNode explained = mapper.createArrayNode();
        history.find(id).forEach(request -> explained.add(describe(request)));
        return explained;
    }

    /** Returns whether this daemon assigned the id to a request, whether or not the request is still in the history. */
    boolean hasIssued(String id) {
        return requestIds.hasIssued(id);
    }

    /** Returns the maximum number of requests in the history. */
    int capacity() {
        return history.capacity();
    }

    private ObjectNode describe(EndedRequest request) {
        ObjectNode node = mapper.createObjectNode()
                .put("request", request.request().value())
                .put("service", request.service())
                .put("rank", request.rank())
                .put("workspace", request.workspace())
                .put(
                        "arrived",
                        Instant.ofEpochMilli(request.arrivalEpochMillis()).toString())
                .put("durationMillis", millis(request.durationNanos()))
                .put("ending", request.ending().label())
                .put("outcome", request.outcome())
                .put("reason", request.reason());
        List<ServerAttempt> attempts = request.attempts();
        ArrayNode list = node.putArray("attempts");
        attempts.forEach(attempt -> list.add(describe(attempt)));
        return node;
    }

    private ObjectNode describe(ServerAttempt attempt) {
        ObjectNode node = mapper.createObjectNode()
                .put("server", attempt.server())
                .put("waitMillis", millis(attempt.waitNanos()));
        if (attempt.result().isEmpty()) {
            return node.put("failure", "in-progress").put("outcome", "").putNull("latencyMillis");
        }
        ExchangeResult result = attempt.result().get();
        return node.put("failure", result.failure().label())
                .put("outcome", result.outcome().label())
                .put("latencyMillis", millis(result.latencyNanos()));
    }

    private static double millis(long nanos) {
        return Math.round(nanos / NANOS_PER_MILLI * 1000) / 1000.0;
    }
}
