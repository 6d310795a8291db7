package org.heatherreach.transport.http;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Work that goes on after its subscriber has cancelled. No instances; safe for use by any thread. */
final class DetachedMono {
    private DetachedMono() {}

    /** Returns the result of work that goes on if nobody waits for the result any more. */
    static <T> Mono<T> of(Mono<T> work) {
        return Mono.defer(() -> {
            Sinks.One<T> result = Sinks.one();
            work.subscribe(result::tryEmitValue, result::tryEmitError, result::tryEmitEmpty);
            return result.asMono();
        });
    }
}
