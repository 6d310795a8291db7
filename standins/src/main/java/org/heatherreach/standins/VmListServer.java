package org.heatherreach.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/**
 * A stand-in for the platform's list of VMs. {@code GET /v1/vms} answers {@code {"vms":[...]}} as the list was some time
 * ago. Safe for use by any thread.
 */
public final class VmListServer implements AutoCloseable {
    private final DisposableServer server;
    private final AdminServer admin;
    private final Deque<Version> versions = new ArrayDeque<>();
    private long lagNanos;
    private boolean unavailable;

    /**
     * Starts the server with an empty list.
     *
     * @param lagMillis the time after which a change of the list becomes visible
     */
    public VmListServer(String host, int port, int adminPort, int lagMillis) {
        Loopback.check(host);
        lagNanos = Duration.ofMillis(lagMillis).toNanos();
        server = HttpServer.create()
                .host(host)
                .port(port)
                .route(routes -> routes.get("/v1/vms", (request, response) -> {
                    String body = answer(System.nanoTime());
                    return response.status(body == null ? 503 : 200)
                            .header("Content-Type", "application/json")
                            .sendString(Mono.just(body == null ? "{\"error\":\"unavailable\"}" : body));
                }))
                .bindNow();
        admin = new AdminServer(
                host,
                adminPort,
                routes -> routes.get("/vms", this::newest)
                        .post("/vms", body -> {
                            set(readAll(body));
                            return newest();
                        })
                        .post("/faults", this::switchFaults));
    }

    /** Returns the port for clients. */
    public int port() {
        return server.port();
    }

    /** Returns the port of the admin endpoint. */
    public int adminPort() {
        return admin.port();
    }

    /** Replaces the list; clients see it after the lag. */
    public synchronized void set(List<Vm> vms) {
        versions.addLast(new Version(System.nanoTime(), List.copyOf(vms)));
    }

    /** Sets the lag and whether requests are answered with status 503. */
    public synchronized void setFaults(int lagMillis, boolean nowUnavailable) {
        lagNanos = Duration.ofMillis(lagMillis).toNanos();
        unavailable = nowUnavailable;
    }

    @Override
    public void close() {
        server.disposeNow();
        admin.close();
    }

    private synchronized List<Vm> newest() {
        return versions.isEmpty() ? List.of() : versions.getLast().vms();
    }

    private synchronized String answer(long nowNanos) {
        if (unavailable) {
            return null;
        }
        List<Vm> visible = List.of();
        for (Version version : versions) {
            if (version.setNanos() + lagNanos - nowNanos <= 0) {
                visible = version.vms();
            }
        }
        return Json.write(new Listing(visible));
    }

    private Object switchFaults(JsonNode body) {
        setFaults(
                body.path("lagMillis").asInt((int) Duration.ofNanos(lagNanos).toMillis()),
                body.path("unavailable").asBoolean(unavailable));
        return body;
    }

    private static List<Vm> readAll(JsonNode body) {
        List<Vm> vms = new ArrayList<>();
        for (JsonNode node : body.path("vms")) {
            vms.add(Json.convert(node, Vm.class));
        }
        return vms;
    }

    /**
     * One VM of the list.
     *
     * @param id the id of the VM
     * @param address the address as {@code HOST:PORT} by IP number
     * @param zone the availability zone
     * @param service the service of a backend server, or {@code heatherreach} for a daemon
     * @param state {@code live} or {@code leaving}
     */
    public record Vm(String id, String address, String zone, String service, State state) {}

    /** Whether a VM stays. */
    public enum State {
        /** In use. */
        @JsonProperty("live")
        LIVE,
        /** About to be stopped. */
        @JsonProperty("leaving")
        LEAVING
    }

    private record Version(long setNanos, List<Vm> vms) {}

    private record Listing(List<Vm> vms) {}
}
