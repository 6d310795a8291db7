package org.heatherreach.daemon.fleet;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.http.Endpoint;
import org.heatherreach.transport.http.EndpointResponse;
import reactor.core.publisher.Mono;

/** The endpoints for the operators' tool. Safe for use by any thread. */
final class OperatorEndpoints {
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int GONE = 410;

    private final ObjectMapper mapper = new ObjectMapper();
    private final DaemonId daemon;
    private final HealthDuty healthDuty;
    private final FleetStatus status;
    private final RequestExplainer requests;
    private final Runnable drain;
    private final AtomicBoolean draining = new AtomicBoolean();

    /**
     * Creates endpoints.
     *
     * @param drain starts the planned stop of this process; called at most once
     */
    OperatorEndpoints(
            DaemonId daemon, HealthDuty healthDuty, FleetStatus status, RequestExplainer requests, Runnable drain) {
        this.daemon = Objects.requireNonNull(daemon, "daemon");
        this.healthDuty = Objects.requireNonNull(healthDuty, "healthDuty");
        this.status = Objects.requireNonNull(status, "status");
        this.requests = Objects.requireNonNull(requests, "requests");
        this.drain = Objects.requireNonNull(drain, "drain");
    }

    /** Returns the endpoints; each key is the HTTP method, a space and the path. */
    Map<String, Endpoint> byPath() {
        return Map.of(
                "GET /heatherreach/status", (argument, body) -> Mono.fromSupplier(status::answer),
                "GET /heatherreach/servers", (argument, body) -> Mono.fromSupplier(this::listServers),
                "GET /heatherreach/explain/", (argument, body) -> Mono.fromSupplier(() -> explain(argument)),
                "POST /heatherreach/drain", (argument, body) -> Mono.fromSupplier(this::startDrain));
    }

    private EndpointResponse listServers() {
        ObjectNode answer = mapper.createObjectNode().put("daemon", daemon.value());
        ArrayNode servers = answer.putArray("servers");
        healthDuty.status().forEach(server -> servers.add(mapper.valueToTree(server)));
        return EndpointResponse.json(200, answer + "\n");
    }

    private EndpointResponse explain(String argument) {
        String id;
        try {
            id = URLDecoder.decode(argument, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return error(NOT_FOUND, "not an id: " + e.getMessage());
        }
        for (RefusalReason reason : RefusalReason.values()) {
            if (reason.label().equals(id)) {
                ObjectNode answer = mapper.createObjectNode()
                        .put("reason", id)
                        .put("outcome", reason.outcome().label())
                        .put("status", reason.statusCode())
                        .put("transient", reason.isTransient());
                return EndpointResponse.json(200, answer + "\n");
            }
        }
        List<ServerStatus> found = healthDuty.status().stream()
                .filter(server -> server.server().equals(id))
                .toList();
        ArrayNode explained = requests.explain(id);
        if (found.isEmpty() && explained.isEmpty()) {
            return requests.hasIssued(id)
                    ? error(
                            GONE,
                            "the request is not among the last " + requests.capacity()
                                    + " that ended here: it still runs or ended earlier")
                    : error(
                            NOT_FOUND,
                            "neither a server, a refusal reason nor one of the last " + requests.capacity()
                                    + " requests that ended here");
        }
        ObjectNode answer = mapper.createObjectNode().put("daemon", daemon.value());
        if (!explained.isEmpty()) {
            answer.set("requests", explained);
        }
        found.forEach(server -> answer.withArray("servers").add(mapper.valueToTree(server)));
        return EndpointResponse.json(200, answer + "\n");
    }

    private EndpointResponse error(int statusCode, String message) {
        return EndpointResponse.json(statusCode, mapper.createObjectNode().put("error", message) + "\n");
    }

    private EndpointResponse startDrain() {
        if (draining.compareAndSet(false, true)) {
            drain.run();
        }
        return EndpointResponse.json(ACCEPTED, "{\"state\":\"leaving\"}\n");
    }
}
