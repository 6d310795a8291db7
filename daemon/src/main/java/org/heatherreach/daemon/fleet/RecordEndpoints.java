package org.heatherreach.daemon.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.heatherreach.coordination.atmostonce.ExecutionKey;
import org.heatherreach.coordination.atmostonce.KeyParseError;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.transport.http.EndpointResponse;
import reactor.core.publisher.Mono;

/** The endpoints that issue keys and show the outcome of a key. Safe for use by any thread. */
final class RecordEndpoints {
    private static final int COUNT_LIMIT = 100;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final RecordDuty duty;

    RecordEndpoints(RecordDuty duty) {
        this.duty = Objects.requireNonNull(duty, "duty");
    }

    Mono<EndpointResponse> issueKeys(byte[] body) {
        int count;
        try {
            JsonNode request = JSON.readTree(body);
            JsonNode value = request == null ? null : request.get("count");
            count = value != null && value.isInt() ? value.intValue() : 0;
        } catch (IOException e) {
            count = 0;
        }
        if (count < 1 || count > COUNT_LIMIT) {
            return Mono.just(refuse(RefusalReason.BAD_REQUEST, "expected {\"count\":n} with n from 1 to 100"));
        }
        int wanted = count;
        return Mono.create(sink -> duty.issueKeys(
                wanted, keys -> sink.success(keys.fold(reason -> refuse(reason, "no keys"), this::show))));
    }

    Mono<EndpointResponse> showOutcome(String argument) {
        Either<KeyParseError, ExecutionKey> key = ExecutionKey.parse(argument);
        if (key.isLeft()) {
            return Mono.just(refuse(
                    RefusalReason.INVALID_KEY,
                    "malformed key: " + key.getLeft().name().toLowerCase(Locale.ROOT)));
        }
        return Mono.create(sink -> duty.showOutcome(key.get(), report -> sink.success(show(report))));
    }

    private EndpointResponse show(List<ExecutionKey> keys) {
        ObjectNode answer = JSON.createObjectNode();
        ArrayNode texts = answer.putArray("keys");
        keys.forEach(key -> texts.add(key.toText()));
        answer.put("expiresInMillis", duty.keyLifetimeMillis());
        return EndpointResponse.json(200, answer + "\n");
    }

    private static EndpointResponse show(KeyReport report) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("outcome", report.state().label()).put("reason", report.reason());
        if (report.state() == KeyReport.State.RECORDED) {
            answer.put("status", report.statusCode()).put("complete", report.complete());
        }
        return EndpointResponse.json(200, answer + "\n");
    }

    private static EndpointResponse refuse(RefusalReason reason, String error) {
        ObjectNode answer = JSON.createObjectNode();
        answer.put("error", error).put("reason", reason.label());
        return EndpointResponse.json(reason.statusCode(), answer + "\n");
    }
}
