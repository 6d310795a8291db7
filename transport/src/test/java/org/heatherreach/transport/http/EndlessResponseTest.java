package org.heatherreach.transport.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/** Servers in trouble that send bytes without end until the daemon closes the connection. */
class EndlessResponseTest {
    private static final byte[] ORDER = {'o'};
    private static final long AWAIT_SECONDS = 20;
    /** Buffers of the daemon for one response and of the sockets on both sides; a relay without bounds takes gigabytes. */
    private static final long MAX_HELD_BYTES = 32L * 1024 * 1024;

    /** Sends the first text once and then the other one until the daemon closes the connection. */
    private static ScriptedBackend.Script endless(String first, String repeated, CountDownLatch closed) {
        return call -> {
            try {
                call.send(first);
                while (true) {
                    call.send(repeated);
                }
            } catch (IOException e) {
                closed.countDown();
                return false;
            }
        };
    }

    private static boolean isClosed(RawCaller caller) {
        try {
            return caller.isClosedByDaemon();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a response and returns its status, or that it was cut. */
    private static String endOf(RawCaller caller) {
        try {
            return "status " + caller.read("GET").status();
        } catch (IOException e) {
            return "cut";
        }
    }

    // Guards against a daemon that reads a head without end until the deadline of the request or the end of its memory.
    // The caller is told at once that the server is lost.
    @Example
    void givesUpOnAHeadWithoutEnd() throws Exception {
        List<String[]> heads = List.of(
                new String[] {"HTTP/1.1 200 ", "x".repeat(1000)},
                new String[] {"HTTP/1.1 200 OK\r\n", "X-A: " + "y".repeat(100) + "\r\n"},
                new String[] {"HTTP/1.1 200 OK\r\nX-A: ", "y".repeat(1000)},
                new String[] {"HTTP/1.1 200 OK\r\n", "X".repeat(1000)},
                new String[] {"", "\r\n"},
                new String[] {"", "no answer in the protocol "},
                new String[] {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "other protocol"},
                new String[] {"", "HTTP/1.1 102 Processing\r\n\r\n"},
                new String[] {"", "HTTP/1.1 100 Continue\r\n\r\n"});
        for (String[] head : heads) {
            CountDownLatch closed = new CountDownLatch(1);
            try (ProxyFixture fixture = new ProxyFixture()
                            .backend(endless(head[0], head[1], closed))
                            .start();
                    RawCaller caller = fixture.caller()) {
                RawCaller.Response response = caller.post("/", ORDER);
                assertThat(response.status()).as(head[1]).isEqualTo(502);
                assertThat(response.outcome()).as(head[1]).isEqualTo("unknown");
                assertThat(response.reason()).as(head[1]).isEqualTo("server-lost");
                assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as(head[1])
                        .isTrue();
            }
        }
    }

    // Guards against a body without end that is relayed for as long as the caller reads. After the deadline the
    // caller's connection is reset, so that the answer can't be taken for a complete one.
    @Example
    void endsABodyWithoutEndAfterTheDeadline() throws Exception {
        List<String[]> bodies = List.of(
                new String[] {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"},
                new String[] {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999\r\n\r\n", "hello"},
                new String[] {
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "X-Trailer: y\r\n"
                });
        for (String[] body : bodies) {
            CountDownLatch closed = new CountDownLatch(1);
            try (ProxyFixture fixture = new ProxyFixture()
                            .backend(endless(body[0], body[1], closed))
                            .start();
                    RawCaller caller = fixture.caller()) {
                caller.send("GET / HTTP/1.1\r\nHost: x\r\nHeatherreach-Timeout-Ms: 300\r\n\r\n");
                CompletableFuture<Boolean> reset = CompletableFuture.supplyAsync(() -> isClosed(caller));
                assertThat(reset.get(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as(body[0])
                        .isTrue();
                assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as(body[0])
                        .isTrue();
                ProxyFixture.await(() -> fixture.meters.inFlight() == 0);
            }
        }
    }

    // Guards against bytes after the end of an answer that are kept in memory or taken for the next answer.
    @Example
    void closesAConnectionWithBytesAfterTheAnswer() throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        try (ProxyFixture fixture = new ProxyFixture()
                        .backend(endless("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "surplus", closed))
                        .start();
                RawCaller caller = fixture.caller()) {
            assertThat(caller.post("/", ORDER).text()).isEqualTo("hello");
            assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }

    // Guards against a body in tiny chunks that keeps the event loop busy until its deadline, while the requests of
    // other callers wait past theirs: each chunk was written and flushed by itself.
    @Example
    void relaysTinyChunksInFewWrites() throws Exception {
        int chunkCount = 60_000;
        try (ProxyFixture fixture = new ProxyFixture()
                        .backend(call -> {
                            call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + "1\r\nx\r\n".repeat(chunkCount) + "0\r\n\r\n");
                            return true;
                        })
                        .start();
                RawCaller caller = fixture.caller()) {
            RawCaller.Response response = caller.get("/");
            assertThat(response.text()).isEqualTo("x".repeat(chunkCount));
            assertThat(caller.chunksRead()).isLessThan(chunkCount / 10);
        }
    }

    // Guards against a refusal or a foreign answer whose body is read, or kept in memory, without end. The caller is
    // answered at once, and the connection is closed.
    @Example
    void closesARefusalWithoutEnd() throws Exception {
        List<String> heads = List.of(
                "HTTP/1.1 503 X\r\nRetry-After: 1\r\nBackend-Shed: true\r\n",
                "HTTP/1.1 200 X\r\nHeatherreach-Request-Id: of-another-request\r\n");
        for (String head : heads) {
            CountDownLatch closed = new CountDownLatch(1);
            try (ProxyFixture fixture = new ProxyFixture()
                            .backend(endless(head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", closed))
                            .start();
                    RawCaller caller = fixture.caller()) {
                assertThat(caller.post("/", ORDER).status()).as(head).isGreaterThan(500);
                assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as(head)
                        .isTrue();
            }
        }
    }

    // Guards against chunk sizes, chunk extensions and trailers without end, which are bytes of no body.
    @Example
    void givesUpOnChunkFramingWithoutEnd() throws Exception {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        List<String[]> framings = List.of(
                new String[] {head, "0".repeat(1000)},
                new String[] {head + "5", ";a=" + "x".repeat(1000)},
                new String[] {head + "5\r\nhello\r\n0\r\nX-Trailer: ", "y".repeat(1000)});
        for (String[] framing : framings) {
            CountDownLatch closed = new CountDownLatch(1);
            try (ProxyFixture fixture = new ProxyFixture()
                            .backend(endless(framing[0], framing[1], closed))
                            .start();
                    RawCaller caller = fixture.caller()) {
                caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as(framing[1].substring(0, 5))
                        .isTrue();
                assertThat(endOf(caller)).as(framing[1].substring(0, 5)).isIn("cut", "status 502");
            }
        }
    }

    // Guards against a daemon that runs out of memory because it reads a body without end faster than the caller takes
    // it.
    @Example
    void readsNoMoreThanTheCallerTakes() throws Exception {
        for (int partLength : new int[] {1, 500, 60_000}) {
            String part = Integer.toHexString(partLength) + "\r\n" + "x".repeat(partLength) + "\r\n";
            String batch = part.repeat(Math.max(1, 60_000 / part.length()));
            CountDownLatch closed = new CountDownLatch(1);
            AtomicLong sentBytes = new AtomicLong();
            try (ProxyFixture fixture = new ProxyFixture()
                            .backend(call -> {
                                try {
                                    call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                                    while (true) {
                                        call.send(batch);
                                        sentBytes.addAndGet(batch.length());
                                    }
                                } catch (IOException e) {
                                    closed.countDown();
                                    return false;
                                }
                            })
                            .start();
                    RawCaller caller = fixture.caller()) {
                caller.send("GET / HTTP/1.1\r\nHost: x\r\nHeatherreach-Timeout-Ms: 300\r\n\r\n");
                assertThat(closed.await(AWAIT_SECONDS, TimeUnit.SECONDS))
                        .as("parts of %d bytes", partLength)
                        .isTrue();
                assertThat(sentBytes.get())
                        .as("parts of %d bytes", partLength)
                        .isPositive()
                        .isLessThan(MAX_HELD_BYTES);
            }
        }
    }
}
