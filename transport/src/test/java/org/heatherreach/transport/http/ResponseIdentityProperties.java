package org.heatherreach.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.openhft.hashing.LongHashFunction;

import static org.assertj.core.api.Assertions.assertThat;

class ResponseIdentityProperties {
    private static final int CALLERS = 16;
    private static final int REQUESTS_PER_CALLER = 200;
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    // Guards against a caller that gets the response to another request, or a truncated response that looks complete.
    // Servers respond late, in any order, too short, too long or twice, or close the connection early. Also guards
    // against the outcome "not-run" for a request that a server has received and not shed.
    @Property(seed = "4201", tries = 2, shrinking = ShrinkingMode.OFF)
    void everyCallerGetsItsOwnCompleteResponseOrNone(@ForAll long seed) throws Exception {
        Set<String> shed = ConcurrentHashMap.newKeySet();
        ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
        AtomicInteger complete = new AtomicInteger();
        AtomicInteger notRun = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        try (ProxyFixture fixture = new ProxyFixture()) {
            for (int i = 0; i < 4; i++) {
                fixture.backend(call -> answer(call, shed));
            }
            fixture.start();
            List<Thread> threads = new ArrayList<>();
            CountDownLatch done = new CountDownLatch(CALLERS);
            for (int i = 0; i < CALLERS; i++) {
                int callerId = i;
                Thread thread = new Thread(() -> {
                    SplittableRandom random = new SplittableRandom(seed + callerId);
                    RawCaller caller = null;
                    for (int n = 0; n < REQUESTS_PER_CALLER; n++) {
                        String target =
                                "/" + callerId + "-" + n + "-" + random.nextInt(1 << 30) + "/" + randomScenario(random);
                        boolean post = random.nextInt(4) == 0;
                        try {
                            caller = caller == null ? fixture.caller() : caller;
                            String timeout = "Heatherreach-Timeout-Ms: " + (random.nextInt(8) == 0 ? 4 : 5000);
                            RawCaller.Response response = post
                                    ? caller.post(target, body(target + "#", random.nextInt(3000)), timeout)
                                    : caller.get(target, timeout);
                            verifyResponse(fixture, shed, target, response, violations, complete, notRun);
                            if ("close".equalsIgnoreCase(response.headers().get("connection"))) {
                                caller = close(caller);
                            }
                        } catch (IOException e) {
                            broken.incrementAndGet();
                            if (!target.endsWith("/cut-chunk")) {
                                violations.add(target + " failed: " + e.getMessage());
                            }
                            caller = close(caller);
                        }
                    }
                    close(caller);
                    done.countDown();
                });
                threads.add(thread);
                thread.start();
            }
            done.await();
            ProxyFixture.await(() -> fixture.meters.inFlight() == 0);
        }
        assertThat(violations).isEmpty();
        // The test proves nothing unless each kind of result occurred.
        assertThat(complete.get()).isGreaterThan(CALLERS * REQUESTS_PER_CALLER / 3);
        assertThat(notRun.get()).isPositive();
        assertThat(broken.get()).isPositive();
    }

    private static void verifyResponse(
            ProxyFixture fixture,
            Set<String> shed,
            String target,
            RawCaller.Response response,
            ConcurrentLinkedQueue<String> violations,
            AtomicInteger complete,
            AtomicInteger notRun) {
        if ("backend".equals(response.outcome())) {
            byte[] expected = body(target, sizeOf(target));
            if (HASH.hashBytes(response.body()) != HASH.hashBytes(expected)) {
                violations.add(target + " got a wrong body of " + response.body().length + " bytes");
            }
            complete.incrementAndGet();
        } else if ("not-run".equals(response.outcome())) {
            boolean seen = fixture.backends.stream().anyMatch(backend -> backend.seenTargets.contains(target));
            if (seen && !shed.contains(target)) {
                violations.add(target + " ran but was answered not-run, " + response.reason());
            }
            notRun.incrementAndGet();
        } else if (!"unknown".equals(response.outcome())) {
            violations.add(target + " has no outcome");
        }
    }

    private static RawCaller close(RawCaller caller) {
        if (caller != null) {
            try {
                caller.close();
            } catch (IOException e) {
                // The socket is closed even if an exception is thrown.
            }
        }
        return null;
    }

    private static String randomScenario(SplittableRandom random) {
        String[] scenarios = {
            "whole",
            "whole",
            "whole",
            "chunked",
            "chunked",
            "late",
            "late",
            "large",
            "short",
            "cut-chunk",
            "long",
            "twice",
            "stray",
            "reset",
            "close",
            "shed",
            "unframed",
            "both",
            "garbage"
        };
        return scenarios[random.nextInt(scenarios.length)];
    }

    private static int sizeOf(String target) {
        int spread = Math.floorMod((int) HASH.hashChars(target), 9000);
        return target.endsWith("large") ? 200_000 + spread : spread;
    }

    private static byte[] body(String target, int size) {
        byte[] bytes = new byte[size];
        SplittableRandom random = new SplittableRandom(HASH.hashChars(target));
        for (int i = 0; i < size; i++) {
            bytes[i] = (byte) random.nextInt();
        }
        return bytes;
    }

    private static boolean answer(ScriptedBackend.Call call, Set<String> shed)
            throws IOException, InterruptedException {
        String target = call.target();
        byte[] body = body(target, sizeOf(target));
        String id = "Heatherreach-Request-Id: " + call.headers().get("heatherreach-request-id") + "\r\n";
        switch (target.substring(target.lastIndexOf('/') + 1)) {
            case "chunked" -> call.send(chunked(body, body.length / 3 + 1, true));
            case "cut-chunk" -> {
                call.send(chunked(body, body.length / 3 + 1, false));
                return false;
            }
            case "late" -> {
                Thread.sleep(Math.floorMod(HASH.hashChars(target), 12));
                call.respond(200, id, body);
            }
            case "short" -> {
                call.send("HTTP/1.1 200 X\r\nContent-Length: " + (body.length + 1) + "\r\n\r\n");
                call.send(body);
                return false;
            }
            case "long" -> {
                ByteArrayOutputStream more = new ByteArrayOutputStream();
                more.writeBytes(("HTTP/1.1 200 X\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                more.writeBytes(body);
                more.writeBytes(new byte[10]);
                call.send(more.toByteArray());
            }
            case "twice" -> {
                call.respond(200, id, body);
                call.respond(200, id, Arrays.copyOf(body, body.length / 2));
            }
            case "stray" -> {
                call.respond(200, id, body);
                Thread.sleep(2);
                call.respond(200, id, Arrays.copyOf(body, body.length / 2));
            }
            case "reset" -> {
                call.reset();
                return false;
            }
            case "close" -> {
                return false;
            }
            case "shed" -> {
                shed.add(target);
                call.respond(503, "Retry-After: 1\r\nBackend-Shed: true\r\n", new byte[5]);
            }
            case "unframed" -> {
                call.send("HTTP/1.1 200 X\r\n\r\n");
                call.send(body);
                return false;
            }
            case "both" ->
                call.send("HTTP/1.1 200 X\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            case "garbage" -> call.send("HTTP/1.1 banana\r\n\r\n");
            default -> call.respond(200, id, body);
        }
        return true;
    }

    private static byte[] chunked(byte[] body, int chunkSize, boolean whole) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        for (int from = 0; from < body.length; from += chunkSize) {
            int to = Math.min(body.length, from + chunkSize);
            all.writeBytes((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            all.write(body, from, to - from);
            all.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        if (whole) {
            all.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        return all.toByteArray();
    }
}
