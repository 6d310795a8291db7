package org.heatherreach.tools;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

import com.beust.jcommander.Parameter;
import io.vavr.control.Either;
import org.heatherreach.transport.kv.HttpKeyValueStore;
import org.heatherreach.transport.kv.TableStore;
import org.heatherreach.transport.kv.TableStoreError;
import reactor.core.publisher.Mono;

/** The options of commands that use the key-value service. */
final class StoreOptions {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration WATCH_IDLE_TIMEOUT = Duration.ofMinutes(1);

    @Parameter(names = "--store", description = "Addresses of the key-value service, HOST:PORT[,HOST:PORT...]")
    private String store = "";

    /** Connects, runs the function and disconnects; throws a {@link ToolException} if the store fails. */
    <T> T withStore(ToolContext context, Function<TableStore, Mono<Either<TableStoreError, T>>> function) {
        return tryWithStore(context, function).getOrElseThrow(StoreOptions::toException);
    }

    /** Connects, runs the function and disconnects; returns a failure of the store to the caller. */
    <T> Either<TableStoreError, T> tryWithStore(
            ToolContext context, Function<TableStore, Mono<Either<TableStoreError, T>>> function) {
        String addressText = store.isEmpty() ? context.environment("HEATHERREACH_STORE") : store;
        List<InetSocketAddress> endpoints = AddressParser.parseList("--store", addressText);
        if (endpoints.isEmpty()) {
            throw new ToolException(
                    ExitCode.USAGE, "give the addresses of the key-value service with --store or HEATHERREACH_STORE");
        }
        try (HttpKeyValueStore client =
                new HttpKeyValueStore(endpoints, CALL_TIMEOUT, WATCH_IDLE_TIMEOUT, new SplittableRandom())) {
            return function.apply(new TableStore(client, new SplittableRandom()))
                    .block();
        }
    }

    boolean isGiven(ToolContext context) {
        return !store.isEmpty() || !context.environment("HEATHERREACH_STORE").isEmpty();
    }

    static ToolException toException(TableStoreError error) {
        ExitCode code = error instanceof TableStoreError.Undetermined ? ExitCode.UNDETERMINED : ExitCode.UNAVAILABLE;
        return new ToolException(code, error.reason());
    }
}
