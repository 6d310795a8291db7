package org.heatherreach.transport.http;

import java.io.IOException;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionLimitTest {
    private static final int CONNECTIONS = 2;

    // Guards against callers that exhaust the memory of a daemon with connections, against closed connections that
    // remain counted, and against refused connections that reduce the limit for others.
    @Example
    void refusesConnectionsBeyondTheLimitOnly() throws Exception {
        ProxyLimits defaults = ProxyLimits.defaults();
        ProxyLimits limits = new ProxyLimits(
                defaults.headBytes(),
                defaults.bodyBytes(),
                defaults.retainedBodyBytes(),
                defaults.keyedBodyBytes(),
                defaults.headTimeoutMillis(),
                defaults.stallTimeoutMillis(),
                defaults.connectTimeoutMillis(),
                defaults.idleTimeoutMillis(),
                defaults.attempts(),
                CONNECTIONS,
                true);
        try (ProxyFixture fixture = new ProxyFixture()
                        .backend(call -> {
                            call.respond(200, "", new byte[5]);
                            return true;
                        })
                        .start(parts -> ProxyFixture.withLimits(parts, limits));
                RawCaller second = fixture.caller()) {
            try (RawCaller first = fixture.caller()) {
                assertThat(first.get("/").status()).isEqualTo(200);
                assertThat(second.get("/").status()).isEqualTo(200);
                for (int i = 0; i < 3; i++) {
                    try (RawCaller refused = fixture.caller()) {
                        assertThat(refused.isClosedByDaemon()).isTrue();
                    }
                }
                assertThat(fixture.count("heatherreach.caller.connections.refused"))
                        .isEqualTo(3);
                assertThat(first.get("/").status()).isEqualTo(200);
            }
            ProxyFixture.await(() -> isNewConnectionServed(fixture));
            assertThat(second.get("/").status()).isEqualTo(200);
            assertThat(fixture.backends.get(0).requests).hasValue(5);
        }
    }

    private static boolean isNewConnectionServed(ProxyFixture fixture) {
        try (RawCaller caller = fixture.caller()) {
            return caller.get("/").status() == 200;
        } catch (IOException e) {
            // The daemon has not processed the close of the first connection yet.
            return false;
        }
    }
}
