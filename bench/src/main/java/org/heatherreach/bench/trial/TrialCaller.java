package org.heatherreach.bench.trial;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A caller: asks a daemon which addresses to use, keeps the answer until its deadline, sends requests there and checks
 * each body against its own request. Safe for use by any thread.
 */
public final class TrialCaller {
    private static final int CALLER_TIMEOUT_MILLIS = 5000;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(CALLER_TIMEOUT_MILLIS))
            .build();
    private final ObjectMapper mapper = new ObjectMapper();
    private final List<String> seeds;
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicLong addressTurn = new AtomicLong();
    private final Semaphore addressUpdate = new Semaphore(1);
    private volatile List<String> addresses = List.of();
    private volatile long keepDeadlineEpochMillis;

    /** Creates a caller that knows the given daemons as {@code IP:PORT}. */
    public TrialCaller(List<String> seeds) {
        this.seeds = List.copyOf(seeds);
    }

    /** Returns the number of a new request. */
    public long nextNumber() {
        return sequence.incrementAndGet();
    }

    /**
     * Sends a request to the next address and checks its answer.
     *
     * @throws IOException if no daemon tells the addresses
     */
    public TrialAnswer send(TrialRequest request) throws IOException {
        String address = nextAddress();
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + address + request.target()))
                .timeout(Duration.ofMillis(CALLER_TIMEOUT_MILLIS * 2L))
                .header("Heatherreach-Service", request.service())
                .header("Heatherreach-Rank", request.rank().label())
                .header("Heatherreach-Timeout-Ms", Integer.toString(CALLER_TIMEOUT_MILLIS));
        request.key()
                .ifPresent(key -> builder.header("Heatherreach-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofByteArray(request.body())));
        long startNanos = System.nanoTime();
        try {
            HttpResponse<byte[]> response = client.send(builder.build(), HttpResponse.BodyHandlers.ofByteArray());
            return classify(response, request.expectedBody(), System.nanoTime() - startNanos);
        } catch (IOException e) {
            keepDeadlineEpochMillis = 0;
            return new TrialAnswer(
                    TrialAnswer.Kind.BROKEN, String.valueOf(e.getMessage()), System.nanoTime() - startNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Asks the next daemon for an execution key.
     *
     * @throws IOException if the daemon issues none
     */
    public String issueKey() throws IOException {
        JsonNode answer = post(nextAddress(), "/heatherreach/keys", "{\"count\":1}");
        return answer.get("keys").get(0).asText();
    }

    private String nextAddress() throws IOException {
        List<String> current = currentAddresses();
        return current.get((int) (addressTurn.incrementAndGet() % current.size()));
    }

    /**
     * Returns the JSON that a daemon answers at a path.
     *
     * @throws IOException if the daemon gives no answer with status 200
     */
    public JsonNode get(String address, String path) throws IOException {
        return exchange(
                HttpRequest.newBuilder(URI.create("http://" + address + path)).GET());
    }

    /**
     * Posts JSON to a path and returns the JSON that comes back.
     *
     * @throws IOException if there is no answer with status 200
     */
    public JsonNode post(String address, String path, String json) throws IOException {
        return exchange(HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json)));
    }

    private JsonNode exchange(HttpRequest.Builder request) throws IOException {
        try {
            HttpResponse<byte[]> response = client.send(
                    request.timeout(Duration.ofMillis(CALLER_TIMEOUT_MILLIS)).build(),
                    HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != 200) {
                throw new IOException("status " + response.statusCode() + " of " + response.uri());
            }
            return mapper.readTree(response.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private List<String> currentAddresses() throws IOException {
        if (System.currentTimeMillis() < keepDeadlineEpochMillis) {
            return addresses;
        }
        if (!addresses.isEmpty() && !addressUpdate.tryAcquire()) {
            return addresses;
        }
        try {
            return updateAddresses();
        } finally {
            addressUpdate.release();
        }
    }

    private List<String> updateAddresses() throws IOException {
        List<String> sources = new ArrayList<>(addresses);
        sources.addAll(seeds);
        IOException failure = new IOException("no daemon is known");
        for (String source : sources) {
            try {
                JsonNode answer = get(source, "/heatherreach/addresses");
                List<String> listed = new ArrayList<>();
                answer.get("addresses")
                        .forEach(entry -> listed.add(entry.get("host").asText()
                                + ':'
                                + entry.get("port").asInt()));
                if (!listed.isEmpty()) {
                    addresses = List.copyOf(listed);
                    keepDeadlineEpochMillis = answer.get("keepUntilEpochMillis").asLong();
                    return addresses;
                }
            } catch (IOException e) {
                failure = e;
            }
        }
        throw failure;
    }

    private static TrialAnswer classify(HttpResponse<byte[]> response, byte[] expected, long latencyNanos) {
        String outcome = response.headers().firstValue("Heatherreach-Outcome").orElse("missing");
        String reason = response.headers().firstValue("Heatherreach-Reason").orElse("");
        return switch (outcome) {
            case "backend" -> classifyBackend(response, expected, latencyNanos);
            case "not-run" -> new TrialAnswer(TrialAnswer.Kind.NOT_RUN, reason, latencyNanos);
            case "unknown" -> new TrialAnswer(TrialAnswer.Kind.UNKNOWN, reason, latencyNanos);
            default -> new TrialAnswer(TrialAnswer.Kind.WRONG, "outcome header " + outcome, latencyNanos);
        };
    }

    private static TrialAnswer classifyBackend(HttpResponse<byte[]> response, byte[] expected, long latencyNanos) {
        if (response.statusCode() != 200) {
            return new TrialAnswer(
                    TrialAnswer.Kind.BACKEND_ERROR, Integer.toString(response.statusCode()), latencyNanos);
        }
        boolean right = Arrays.equals(response.body(), expected);
        return new TrialAnswer(
                right ? TrialAnswer.Kind.RIGHT : TrialAnswer.Kind.WRONG, right ? "" : "body differs", latencyNanos);
    }
}
