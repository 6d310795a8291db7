package org.heatherreach.tools;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.ConnectTimeoutException;
import io.vavr.control.Option;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Asks daemons over their HTTP endpoints. The daemons to ask are the seeds and every member that an asked daemon names;
 * the list of VMs shows whether any is missing. Confined to the main thread.
 */
final class FleetClient implements AutoCloseable {
    /** The service name of daemons in the VM list. */
    static final String DAEMON_SERVICE = "heatherreach";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int CONCURRENCY = 32;
    /** Members in these states serve no callers any more. */
    private static final Set<String> GONE = Set.of("dead", "left");

    private final List<InetSocketAddress> seeds;
    private final Option<InetSocketAddress> vmList;
    private final ConnectionProvider connections = ConnectionProvider.create("daemons", CONCURRENCY);
    private final HttpClient http = HttpClient.create(connections).disableRetry(true);

    FleetClient(List<InetSocketAddress> seeds, Option<InetSocketAddress> vmList) {
        this.seeds = seeds;
        this.vmList = vmList;
    }

    @Override
    public void close() {
        connections.dispose();
    }

    /** Asks every known daemon for its status. */
    FleetReport report() {
        // Values are ids; an address without id is shown as itself.
        Map<String, String> found = new LinkedHashMap<>();
        Set<String> departed = new HashSet<>();
        Set<String> identities = new HashSet<>();
        seeds.forEach(seed -> found.put(text(seed), text(seed)));
        Map<String, DaemonStatus> asked = new LinkedHashMap<>();
        while (asked.size() < found.size()) {
            List<Map.Entry<String, String>> next = found.entrySet().stream()
                    .filter(entry -> !asked.containsKey(entry.getKey()))
                    .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                    .toList();
            List<Answer> answers = Flux.fromIterable(next)
                    .flatMap(entry -> askStatus(entry.getKey(), entry.getValue()), CONCURRENCY)
                    .collectList()
                    .block();
            for (Answer answer : answers) {
                asked.put(answer.status().address(), answer.status());
                for (JsonNode member : answer.members()) {
                    String host = member.path("host").asText();
                    String address = join(host, member.path("callerPort").asText());
                    if (GONE.contains(member.path("state").asText().toLowerCase(Locale.ROOT))) {
                        departed.add(address);
                    } else {
                        found.putIfAbsent(address, member.path("daemon").asText(address));
                        identities.add(member.path("daemon").asText());
                        identities.add(join(host, member.path("peerPort").asText()));
                    }
                }
            }
        }
        List<DaemonStatus> statuses = new ArrayList<>(asked.values());
        // A seed that does not answer and that the fleet knows to be gone is not waited for.
        statuses.removeIf(status -> !status.isReachable() && departed.contains(status.address()));
        statuses.sort(Comparator.comparing(DaemonStatus::daemon));
        return new FleetReport(statuses, findUnknownVms(identities));
    }

    /** Sends a request to one daemon; the answer is empty if it does not answer. */
    Option<Reply> ask(String method, String address, String path) {
        return send(method, address, path)
                .map(Option::some)
                .defaultIfEmpty(Option.none())
                .block();
    }

    /** Returns whether a daemon has stopped: nothing listens there, or the other daemons know that it is gone. */
    boolean isStopped(String address) {
        boolean refused = http.get()
                .uri("http://" + address + "/heatherreach/status")
                .responseSingle((response, content) -> Mono.just(false))
                .timeout(TIMEOUT)
                .onErrorResume(error ->
                        Mono.just(error instanceof ConnectException && !(error instanceof ConnectTimeoutException)))
                .block();
        return refused
                || report().daemons().stream()
                        .noneMatch(status -> status.address().equals(address));
    }

    private Mono<Answer> askStatus(String address, String knownId) {
        return send("GET", address, "/heatherreach/status")
                .filter(reply -> reply.status() == 200)
                .map(reply -> {
                    JsonNode body = reply.body();
                    DaemonStatus status = new DaemonStatus(
                            address,
                            body.path("daemon").asText(knownId),
                            body.path("incarnation").asText(),
                            body.path("zone").asText(),
                            body.path("state").asText("unknown"),
                            body.path("tableVersion").asLong(0));
                    return new Answer(status, body.path("members"));
                })
                .defaultIfEmpty(new Answer(
                        new DaemonStatus(address, knownId, "", "", DaemonStatus.UNREACHABLE, -1),
                        MAPPER.createArrayNode()));
    }

    private Mono<Reply> send(String method, String address, String path) {
        return http.request(io.netty.handler.codec.http.HttpMethod.valueOf(method))
                .uri("http://" + address + path)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> new Reply(response.status().code(), parse(bytes))))
                .timeout(TIMEOUT)
                .onErrorResume(error -> Mono.empty());
    }

    /**
     * Returns a line for each live daemon VM that no daemon lists as a member. The list has the address for peers, so a
     * VM is recognised by the peer port or the id that daemons report, and can't be asked itself.
     */
    private List<String> findUnknownVms(Set<String> identities) {
        if (vmList.isEmpty()) {
            return List.of();
        }
        Option<Reply> reply = ask("GET", text(vmList.get()), "/v1/vms");
        if (reply.isEmpty() || reply.get().status() != 200) {
            return List.of("the list of VMs at " + text(vmList.get()) + " does not answer");
        }
        List<String> unknown = new ArrayList<>();
        for (JsonNode vm : reply.get().body().path("vms")) {
            String id = vm.path("id").asText();
            String address = vm.path("address").asText();
            if (DAEMON_SERVICE.equals(vm.path("service").asText())
                    && "live".equals(vm.path("state").asText())
                    && !identities.contains(id)
                    && !identities.contains(address)) {
                unknown.add("VM " + id + " at " + address + " is listed live, but no daemon lists it as a member");
            }
        }
        return unknown;
    }

    private static JsonNode parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MAPPER.createObjectNode() : node;
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    private static String text(InetSocketAddress address) {
        return join(address.getHostString(), Integer.toString(address.getPort()));
    }

    private static String join(String host, String port) {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }

    /** The answer of a daemon. */
    record Reply(int status, JsonNode body) {}

    private record Answer(DaemonStatus status, JsonNode members) {}
}
