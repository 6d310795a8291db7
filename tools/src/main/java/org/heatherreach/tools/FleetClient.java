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
 * Sends requests to the HTTP endpoints of daemons. The known daemons are the seeds and, transitively, every member that
 * a daemon lists in its status as neither dead nor left; the list of VMs shows whether any daemon is missing among
 * them. Confined to the main thread.
 */
final class FleetClient implements AutoCloseable {
    /** The service name of daemons in the VM list. */
    static final String DAEMON_SERVICE = "heatherreach";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CONCURRENT_REQUESTS = 32;
    /** Members in these states no longer serve callers. */
    private static final Set<String> GONE_STATES = Set.of("dead", "left");

    private final List<InetSocketAddress> seeds;
    private final Option<InetSocketAddress> vmListAddress;
    private final ConnectionProvider connections = ConnectionProvider.create("daemons", MAX_CONCURRENT_REQUESTS);
    private final HttpClient http = HttpClient.create(connections).disableRetry(true);

    FleetClient(List<InetSocketAddress> seeds, Option<InetSocketAddress> vmListAddress) {
        this.seeds = seeds;
        this.vmListAddress = vmListAddress;
    }

    @Override
    public void close() {
        connections.dispose();
    }

    /** Requests the status of every known daemon, following the member lists that they return. */
    FleetReport collectReport() {
        // A daemon whose id is not known yet has its address as the value.
        Map<String, String> idsByAddress = new LinkedHashMap<>();
        Set<String> goneAddresses = new HashSet<>();
        Set<String> idsAndPeerAddresses = new HashSet<>();
        seeds.forEach(seed -> idsByAddress.put(formatAddress(seed), formatAddress(seed)));
        Map<String, DaemonStatus> statusesByAddress = new LinkedHashMap<>();
        while (statusesByAddress.size() < idsByAddress.size()) {
            List<Map.Entry<String, String>> pending = idsByAddress.entrySet().stream()
                    .filter(entry -> !statusesByAddress.containsKey(entry.getKey()))
                    .map(entry -> Map.entry(entry.getKey(), entry.getValue()))
                    .toList();
            List<StatusReply> replies = Flux.fromIterable(pending)
                    .flatMap(entry -> requestStatus(entry.getKey(), entry.getValue()), MAX_CONCURRENT_REQUESTS)
                    .collectList()
                    .block();
            for (StatusReply reply : replies) {
                statusesByAddress.put(reply.status().address(), reply.status());
                for (JsonNode member : reply.members()) {
                    String host = member.path("host").asText();
                    String address =
                            formatHostPort(host, member.path("callerPort").asText());
                    if (GONE_STATES.contains(member.path("state").asText().toLowerCase(Locale.ROOT))) {
                        goneAddresses.add(address);
                    } else {
                        idsByAddress.putIfAbsent(address, member.path("daemon").asText(address));
                        idsAndPeerAddresses.add(member.path("daemon").asText());
                        idsAndPeerAddresses.add(
                                formatHostPort(host, member.path("peerPort").asText()));
                    }
                }
            }
        }
        List<DaemonStatus> statuses = new ArrayList<>(statusesByAddress.values());
        // A seed that does not answer is left out if another daemon lists it as dead or left.
        statuses.removeIf(status -> !status.isReachable() && goneAddresses.contains(status.address()));
        statuses.sort(Comparator.comparing(DaemonStatus::daemon));
        return new FleetReport(statuses, describeUnlistedVms(idsAndPeerAddresses));
    }

    /** Sends a request and waits for the response; empty if there is none within the timeout. */
    Option<Reply> request(String method, String address, String path) {
        return sendRequest(method, address, path)
                .map(Option::some)
                .defaultIfEmpty(Option.none())
                .block();
    }

    /**
     * Returns whether a daemon has stopped: it refuses connections, or the other daemons list it as dead or left or no
     * longer list it.
     */
    boolean isStopped(String address) {
        boolean refused = http.get()
                .uri("http://" + address + "/heatherreach/status")
                .responseSingle((response, content) -> Mono.just(false))
                .timeout(REQUEST_TIMEOUT)
                .onErrorResume(error ->
                        Mono.just(error instanceof ConnectException && !(error instanceof ConnectTimeoutException)))
                .block();
        return refused
                || collectReport().daemons().stream()
                        .noneMatch(status -> status.address().equals(address));
    }

    private Mono<StatusReply> requestStatus(String address, String fallbackId) {
        return sendRequest("GET", address, "/heatherreach/status")
                .filter(reply -> reply.status() == 200)
                .map(reply -> {
                    JsonNode body = reply.body();
                    DaemonStatus status = new DaemonStatus(
                            address,
                            body.path("daemon").asText(fallbackId),
                            body.path("incarnation").asText(),
                            body.path("zone").asText(),
                            body.path("state").asText("unknown"),
                            body.path("tableVersion").asLong(0));
                    return new StatusReply(status, body.path("members"));
                })
                .defaultIfEmpty(new StatusReply(
                        new DaemonStatus(address, fallbackId, "", "", DaemonStatus.UNREACHABLE, -1),
                        MAPPER.createArrayNode()));
    }

    private Mono<Reply> sendRequest(String method, String address, String path) {
        return http.request(io.netty.handler.codec.http.HttpMethod.valueOf(method))
                .uri("http://" + address + path)
                .responseSingle((response, content) -> content.asByteArray()
                        .defaultIfEmpty(new byte[0])
                        .map(bytes -> new Reply(response.status().code(), parseJson(bytes))))
                .timeout(REQUEST_TIMEOUT)
                .onErrorResume(error -> Mono.empty());
    }

    /**
     * Returns a line for each live daemon VM that no daemon lists as a member, or a line that the list of VMs is not
     * available. The list has the address for peers instead of the one for callers, so a VM is recognised by the peer
     * address or the id that daemons report, and its status can't be requested.
     */
    private List<String> describeUnlistedVms(Set<String> idsAndPeerAddresses) {
        if (vmListAddress.isEmpty()) {
            return List.of();
        }
        Option<Reply> reply = request("GET", formatAddress(vmListAddress.get()), "/v1/vms");
        if (reply.isEmpty() || reply.get().status() != 200) {
            return List.of("the list of VMs at " + formatAddress(vmListAddress.get()) + " is not available");
        }
        List<String> unlisted = new ArrayList<>();
        for (JsonNode vm : reply.get().body().path("vms")) {
            String id = vm.path("id").asText();
            String address = vm.path("address").asText();
            if (DAEMON_SERVICE.equals(vm.path("service").asText())
                    && "live".equals(vm.path("state").asText())
                    && !idsAndPeerAddresses.contains(id)
                    && !idsAndPeerAddresses.contains(address)) {
                unlisted.add("VM " + id + " at " + address + " is listed live, but no daemon lists it as a member");
            }
        }
        return unlisted;
    }

    private static JsonNode parseJson(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? MAPPER.createObjectNode() : node;
        } catch (IOException e) {
            return MAPPER.createObjectNode();
        }
    }

    private static String formatAddress(InetSocketAddress address) {
        return formatHostPort(address.getHostString(), Integer.toString(address.getPort()));
    }

    private static String formatHostPort(String host, String port) {
        return (host.indexOf(':') >= 0 ? "[" + host + "]" : host) + ":" + port;
    }

    /**
     * An HTTP response.
     *
     * @param status the HTTP status code
     * @param body the JSON document; an empty object if the body is not JSON
     */
    record Reply(int status, JsonNode body) {}

    private record StatusReply(DaemonStatus status, JsonNode members) {}
}
