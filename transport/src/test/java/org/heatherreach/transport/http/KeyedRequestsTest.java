package org.heatherreach.transport.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.Function;

import net.jqwik.api.Example;
import org.heatherreach.state.outcome.RefusalReason;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class KeyedRequestsTest {
    private static final byte[] HELLO = "hello".getBytes(StandardCharsets.US_ASCII);
    private static final String KEY = "Heatherreach-Key: k1";

    private static final class FakeExecution implements KeyedExecution {
        private final Function<KeyedRequest, KeyedDecision> decisionFunction;
        private final List<KeyedRequest> begunRequests = new ArrayList<>();
        private final ConcurrentLinkedQueue<KeyedOutcome> outcomes = new ConcurrentLinkedQueue<>();

        private FakeExecution(Function<KeyedRequest, KeyedDecision> decisionFunction) {
            this.decisionFunction = decisionFunction;
        }

        @Override
        public synchronized void begin(KeyedRequest request, Consumer<KeyedDecision> callback) {
            begunRequests.add(request);
            // Runs on another thread, as the real implementation calls back from the thread of its duty.
            new Thread(() -> callback.accept(decisionFunction.apply(request))).start();
        }

        @Override
        public void prepare(long ticket, Consumer<KeyedDecision> callback) {
            callback.accept(new KeyedDecision.Dispatch());
        }

        @Override
        public void resolve(KeyedRequest request, Consumer<KeyedDecision> callback) {
            callback.accept(new KeyedDecision.Refuse(RefusalReason.EXECUTOR_UNREACHABLE));
        }

        @Override
        public void finish(long ticket, KeyedOutcome outcome) {
            outcomes.add(outcome);
        }

        private KeyedOutcome onlyOutcome() {
            ProxyFixture.await(() -> !outcomes.isEmpty());
            assertThat(outcomes).hasSize(1);
            return outcomes.peek();
        }
    }

    private static ProxyFixture fixture(KeyedExecution keyed, ScriptedBackend.Script script) throws Exception {
        return new ProxyFixture().backend(script).start(parts -> ProxyFixture.withKeyed(parts, keyed));
    }

    // Guards against a recorded response that differs from the one the caller received, and against a fingerprint that
    // does not include the body.
    @Example
    void recordsResponseAndIncludesBodyInFingerprint() throws Exception {
        FakeExecution keyed = new FakeExecution(request -> new KeyedDecision.Admit(1));
        byte[] large = new byte[200_000];
        try (ProxyFixture fixture = fixture(keyed, call -> {
                    call.respond(201, "Content-Type: text/x\r\n", call.body().length == 1 ? large : HELLO);
                    return true;
                });
                RawCaller caller = fixture.caller()) {
            assertThat(caller.post("/", HELLO, KEY).text()).isEqualTo("hello");
            KeyedOutcome.Answered answered = (KeyedOutcome.Answered) keyed.onlyOutcome();
            assertThat(answered.response().statusCode()).isEqualTo(201);
            assertThat(answered.response().contentType()).isEqualTo("text/x");
            assertThat(answered.response().body()).isEqualTo(HELLO);
            assertThat(answered.response().complete()).isTrue();
            keyed.outcomes.clear();
            assertThat(caller.post("/", new byte[1], KEY).body()).isEqualTo(large);
            KeyedOutcome.Answered truncated = (KeyedOutcome.Answered) keyed.onlyOutcome();
            assertThat(truncated.response().body()).hasSize(ProxyLimits.RECORDED_BYTES);
            assertThat(truncated.response().complete()).isFalse();
            assertThat(keyed.begunRequests.get(0).fingerprint())
                    .isNotEqualTo(keyed.begunRequests.get(1).fingerprint());
        }
    }

    // Guards against the dispatch of a request whose response is already recorded, or whose key is running or barred.
    @Example
    void replaysAndRefusesWithoutDispatch() throws Exception {
        List<KeyedDecision> decisions = new ArrayList<>(List.of(
                new KeyedDecision.Replay(new RecordedResponse(201, "text/x", HELLO, true)),
                new KeyedDecision.Refuse(RefusalReason.KEY_RUNNING),
                new KeyedDecision.Refuse(RefusalReason.KEY_BARRED)));
        FakeExecution keyed = new FakeExecution(request -> decisions.remove(0));
        try (ProxyFixture fixture = fixture(keyed, call -> {
                    call.respond(200, "", HELLO);
                    return true;
                });
                RawCaller caller = fixture.caller()) {
            RawCaller.Response replay = caller.post("/", HELLO, KEY);
            assertThat(replay.status()).isEqualTo(201);
            assertThat(replay.text()).isEqualTo("hello");
            assertThat(replay.outcome()).isEqualTo("backend");
            assertThat(replay.headers()).containsEntry("heatherreach-replayed", "complete");
            RawCaller.Response running = caller.post("/", HELLO, KEY);
            assertThat(running.outcome()).isEqualTo("unknown");
            assertThat(running.headers()).containsEntry("retry-after", "1");
            assertThat(caller.post("/", HELLO, KEY).outcome()).isEqualTo("not-run");
            assertThat(fixture.backends.get(0).requests).hasValue(0);
            assertThat(keyed.outcomes).isEmpty();
        }
    }

    // Guards against a keyed request that is sent again after it may have run, even if its method is safe: the server
    // resets the connection after it has received the request.
    @Example
    void recordsUnknownAndNeverRetriesAfterConnectionLoss() throws Exception {
        FakeExecution keyed = new FakeExecution(request -> new KeyedDecision.Admit(1));
        try (ProxyFixture fixture = fixture(keyed, call -> {
                    if (call.headers().containsKey("heatherreach-key")) {
                        call.reset();
                        return false;
                    }
                    call.respond(200, "", HELLO);
                    return true;
                });
                RawCaller caller = fixture.caller()) {
            for (int i = 0; i < 30; i++) {
                caller.get("/");
            }
            RawCaller.Response response = caller.get("/", KEY);
            assertThat(response.outcome()).isEqualTo("unknown");
            assertThat(keyed.onlyOutcome()).isEqualTo(new KeyedOutcome.Unknown(RefusalReason.SERVER_LOST));
            assertThat(fixture.backends.get(0).requests).hasValue(31);
        }
    }

    // Guards against an outcome that is not recorded because the caller disconnected before the response arrived.
    @Example
    void finishesAndRecordsAfterCallerDisconnects() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch disconnected = new CountDownLatch(1);
        FakeExecution keyed = new FakeExecution(request -> new KeyedDecision.Admit(1));
        try (ProxyFixture fixture = fixture(keyed, call -> {
            arrived.countDown();
            disconnected.await();
            call.respond(200, "", HELLO);
            return true;
        })) {
            RawCaller caller = fixture.caller();
            caller.send("POST / HTTP/1.1\r\nHost: x\r\n" + KEY + "\r\nContent-Length: 1\r\n\r\nx");
            arrived.await();
            caller.close();
            ProxyFixture.await(() -> fixture.count("heatherreach.caller.disconnects") == 1);
            disconnected.countDown();
            KeyedOutcome.Answered answered = (KeyedOutcome.Answered) keyed.onlyOutcome();
            assertThat(answered.response().body()).isEqualTo(HELLO);
        }
    }

    // Guards against a forwarded request that loses its response, its key or its outcome, and against a forwarded
    // request that is forwarded again, which could go on without end.
    @Example
    void forwardsToTheExecutorOnce() throws Exception {
        FakeExecution executor = new FakeExecution(request -> new KeyedDecision.Admit(1));
        try (ProxyFixture executorFixture = fixture(executor, call -> {
            call.respond(200, "", call.body());
            return true;
        })) {
            FakeExecution entry = new FakeExecution(request -> new KeyedDecision.Forward(
                    new InetSocketAddress("127.0.0.1", executorFixture.port()), Mono.never()));
            try (ProxyFixture entryFixture = fixture(entry, call -> false);
                    RawCaller caller = entryFixture.caller()) {
                RawCaller.Response response = caller.post("/", HELLO, KEY);
                assertThat(response.text()).isEqualTo("hello");
                assertThat(response.outcome()).isEqualTo("backend");
                assertThat(executor.begunRequests.get(0).forwarded()).isTrue();
                assertThat(executor.begunRequests.get(0).key()).isEqualTo("k1");
                assertThat(entryFixture.backends.get(0).requests).hasValue(0);
                RawCaller.Response forwardedAgain = caller.post("/", HELLO, KEY, "Heatherreach-Forwarded: ab");
                assertThat(forwardedAgain.reason()).isEqualTo("executor-unreachable");
                assertThat(forwardedAgain.outcome()).isEqualTo("unknown");
                executorFixture.gate.setIsolated(true);
                RawCaller.Response refused = caller.post("/", HELLO, KEY);
                // The executor refused before it read its records, so an earlier request with the key may have run.
                assertThat(refused.outcome()).isEqualTo("unknown");
                assertThat(refused.reason()).isEqualTo("isolated");
            }
        }
    }
}
