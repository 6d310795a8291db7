package org.heatherreach.transport.http;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import net.jqwik.api.Example;
import org.heatherreach.state.id.RequestId;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;

import static org.assertj.core.api.Assertions.assertThat;

class RequestHistoryTest {
    private RequestHistory history = new RequestHistory(3);

    // Guards against a history that grows beyond its capacity, loses recent requests, or returns requests with the same
    // id in the wrong order.
    @Example
    void keepsTheLastRequestsOnly() {
        for (String id : List.of("a", "b", "c", "b", "d")) {
            history.add(EndedRequest.refusedAtHead(new RequestId(id), Outcome.NOT_RUN, RefusalReason.BAD_REQUEST));
        }
        assertThat(history.find("a")).isEmpty();
        assertThat(history.find("b")).hasSize(1);
        assertThat(history.find("c")).hasSize(1);
        history.add(EndedRequest.refusedAtHead(new RequestId("d"), Outcome.NOT_RUN, RefusalReason.QUEUE_FULL));
        assertThat(history.find("d")).extracting(EndedRequest::reason).containsExactly("queue-full", "bad-request");
        assertThat(history.find("c")).isEmpty();
    }

    // Guards against ended requests that are missing in the history, and so can't be explained: a retried one, ones
    // refused at different steps, and one whose caller disconnected.
    @Example
    void recordsEveryEndedRequest() throws Exception {
        AtomicBoolean broken = new AtomicBoolean();
        CountDownLatch hanging = new CountDownLatch(1);
        ScriptedBackend.Script script = call -> {
            if (call.target().equals("/retry") && broken.compareAndSet(false, true)) {
                call.reset();
                return false;
            }
            if (call.target().equals("/hang")) {
                hanging.countDown();
                call.awaitClose();
                return false;
            }
            call.respond(200, "", new byte[5]);
            return true;
        };
        try (ProxyFixture fixture = new ProxyFixture()
                .backend(script)
                .backend(script)
                .start(parts -> {
                    history = parts.history();
                    return parts;
                })) {
            try (RawCaller caller = fixture.caller()) {
                // The retry budget is a tenth of the requests, so 10 requests allow one retry.
                for (int i = 0; i < 10; i++) {
                    caller.get("/");
                }
                EndedRequest retried =
                        ended(caller.get("/retry", "Heatherreach-Rank: bulk", "Heatherreach-Workspace: north"));
                assertThat(retried.attempts())
                        .extracting(attempt -> attempt.result().get().failure())
                        .containsExactly(FailureKind.TRUNCATED, FailureKind.NONE);
                assertThat(retried.attempts()).extracting(ServerAttempt::server).doesNotHaveDuplicates();
                assertThat(retried.rank() + retried.workspace() + retried.outcome() + retried.reason())
                        .isEqualTo("bulknorthbackend");
                assertThat(retried.service()).isEqualTo(ProxyFixture.SERVICE.value());
                assertThat(ended(caller.get("/", "Heatherreach-Rank: highest")).reason())
                        .isEqualTo("invalid-rank");
                EndedRequest refused = ended(caller.get("/", "Heatherreach-Key: k"));
                assertThat(refused.reason()).isEqualTo("invalid-key");
                assertThat(refused.ending()).isEqualTo(RequestEnding.ANSWERED);
                assertThat(refused.attempts()).isEmpty();
                caller.send("GET / HTTP/1.1\r\nbad\r\n\r\n");
                assertThat(ended(caller.read("GET")).reason()).isEqualTo("bad-request");
            }
            try (RawCaller caller = fixture.caller()) {
                caller.send("GET /hang HTTP/1.1\r\nHost: x\r\nHeatherreach-Request-Id: mine\r\n\r\n");
                hanging.await();
            }
            ProxyFixture.await(() -> !history.find("mine").isEmpty());
            EndedRequest disconnected = history.find("mine").get(0);
            assertThat(disconnected.ending()).isEqualTo(RequestEnding.CALLER_LEFT);
            assertThat(disconnected.outcome()).isEmpty();
            assertThat(disconnected.attempts().get(0).result().get().failure()).isEqualTo(FailureKind.CANCELLED);
        }
    }

    /**
     * Returns the only entry of an answered request, which is added shortly after the caller has received the response.
     */
    private EndedRequest ended(RawCaller.Response response) {
        String id = response.headers().get("heatherreach-request-id");
        ProxyFixture.await(() -> !history.find(id).isEmpty());
        assertThat(history.find(id)).hasSize(1);
        return history.find(id).get(0);
    }
}
