package org.heatherreach.transport.kv;

import java.io.ByteArrayOutputStream;
import java.time.Duration;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Collects the parts of one response. A large response on a slow link may take as long as its bytes need, but not longer
 * than at the least rate.
 *
 * <p>Confined to one call, whose parts arrive one after the other.
 */
final class ResponseReader {
    /** Several times the largest batch of chunks as base64. */
    private static final long RESPONSE_LIMIT_BYTES = 64L << 20;

    private final Duration partTimeout;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private ResponseDeadline deadline;

    private ResponseReader(Duration partTimeout) {
        this.partTimeout = partTimeout;
    }

    /**
     * Collects a response.
     *
     * @param parts the parts of the response, at least one
     * @param partTimeout how long the first part may take, how long no byte may arrive after it, and how far the
     *     response may fall behind the least rate
     * @return the whole response as one part; fails with a {@link java.util.concurrent.TimeoutException} if a part does
     *     not arrive in time, and with a {@link ResponseException} if the response is too large or arrives too slowly
     */
    static Mono<ResponsePart> read(Flux<ResponsePart> parts, Duration partTimeout) {
        return parts.timeout(partTimeout)
                .collect(() -> new ResponseReader(partTimeout), ResponseReader::add)
                .map(reader -> new ResponsePart(reader.status, reader.body.toByteArray()));
    }

    private void add(ResponsePart part) {
        long nowNanos = System.nanoTime();
        if (deadline == null) {
            status = part.status();
            deadline = new ResponseDeadline(nowNanos, partTimeout);
        }
        if (!deadline.accept(part.content().length, nowNanos)) {
            throw new ResponseException(new KeyValueError.Unavailable("the response arrives too slowly"));
        }
        if (body.size() + part.content().length > RESPONSE_LIMIT_BYTES) {
            throw new ResponseException(
                    new KeyValueError.TooLarge("the response exceeds " + RESPONSE_LIMIT_BYTES + " bytes"));
        }
        body.writeBytes(part.content());
    }
}
