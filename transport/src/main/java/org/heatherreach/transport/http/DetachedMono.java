package org.heatherreach.transport.http;

import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Creates Monos whose work continues after the subscriber has cancelled. No instances; safe for use by any thread. */
final class DetachedMono {
    private DetachedMono() {}

    /** Returns the result of the work, which runs to its end even if the subscriber cancels. */
    static <T> Mono<T> of(Mono<T> work) {
        return Mono.defer(() -> {
            Sinks.One<T> result = Sinks.one();
            work.subscribe(result::tryEmitValue, result::tryEmitError, result::tryEmitEmpty);
            return result.asMono();
        });
    }
}
