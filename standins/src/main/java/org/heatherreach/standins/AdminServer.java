package org.heatherreach.standins;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * The admin endpoint of a stand-in. It has a port of its own so that it answers while the stand-in refuses callers.
 * Each route maps a JSON document to a JSON document. Safe for use by any thread.
 */
final class AdminServer implements AutoCloseable {
    private final DisposableServer server;

    AdminServer(String host, int port, Function<Routes, Routes> configure) {
        server = HttpServer.create()
                .host(host)
                .port(port)
                .route(routes -> configure.apply(new Routes(routes)))
                .bindNow();
    }

    int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    /** Adds routes whose handlers take and return JSON documents. */
    static final class Routes {
        private final HttpServerRoutes routes;

        private Routes(HttpServerRoutes routes) {
            this.routes = routes;
        }

        Routes get(String path, Supplier<Object> handler) {
            routes.get(
                    path,
                    (request, response) -> response.header("Content-Type", "application/json")
                            .sendString(Mono.fromSupplier(() -> Json.write(handler.get()))));
            return this;
        }

        Routes post(String path, Function<JsonNode, Object> handler) {
            routes.post(
                    path,
                    (request, response) -> request.receive()
                            .aggregate()
                            .asString(StandardCharsets.UTF_8)
                            .defaultIfEmpty("{}")
                            .flatMap(body -> {
                                String answer;
                                try {
                                    answer = Json.write(handler.apply(Json.read(body)));
                                } catch (IllegalArgumentException e) {
                                    response.status(400);
                                    answer = Json.write(Json.object().put("error", e.getMessage()));
                                }
                                return response.header("Content-Type", "application/json")
                                        .sendString(Mono.just(answer))
                                        .then();
                            }));
            return this;
        }
    }
}
