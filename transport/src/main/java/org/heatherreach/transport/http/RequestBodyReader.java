package org.heatherreach.transport.http;

import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.state.outcome.RefusalReason;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the body of a caller's request. The body is buffered if the request has a key, or if its length shows that it is
 * small enough to be kept for a retry and the memory budget allows it; any other body is streamed.
 *
 * <p>Invariant: never passes on more bytes than the limits allow.
 *
 * <p>Confined to the event loop of the caller's connection.
 */
final class RequestBodyReader {
    private final ProxyLimits limits;
    private final CallerRequest request;
    private final HttpServerRequest inbound;
    /** Reads a body into a buffer; null for other bodies. */
    private BodyIntake intake;

    /** Creates a reader for one request. */
    RequestBodyReader(ProxyLimits limits, CallerRequest request, HttpServerRequest inbound) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.request = Objects.requireNonNull(request, "request");
        this.inbound = Objects.requireNonNull(inbound, "inbound");
    }

    /** Returns the body, or a {@link RequestRefusal} if it is too large or exceeds the memory budget. */
    Mono<RequestBody> read() {
        HttpHeaders headers = request.headers();
        boolean chunked = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
        long lengthBytes = headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                ? Long.parseLong(headers.get(HttpHeaderNames.CONTENT_LENGTH))
                : 0;
        boolean keyed = request.key().isDefined();
        long limitBytes = keyed ? limits.keyedBodyBytes() : limits.bodyBytes();
        if (!chunked && lengthBytes == 0) {
            return Mono.just(RequestBody.empty());
        }
        if (lengthBytes > limitBytes) {
            return Mono.error(new RequestRefusal(RefusalReason.BODY_TOO_LARGE));
        }
        Flux<ByteBuf> arriving = limitedBody(limitBytes);
        if (keyed || (!chunked && lengthBytes <= limits.retainedBodyBytes())) {
            BodyIntake buffering = new BodyIntake(request.memory(), chunked ? -1 : lengthBytes, keyed);
            if (buffering.reserve()) {
                intake = buffering;
                return buffering.read(arriving);
            }
        }
        if (keyed || !request.memory().tryAdd(MemoryCharge.STREAM_BYTES)) {
            return Mono.error(new RequestRefusal(RefusalReason.MEMORY_LIMIT));
        }
        return Mono.just(RequestBody.streamed(arriving.map(ByteBuf::retain), chunked ? -1 : lengthBytes));
    }

    /** Drops what a partly read body still contains; called when the request has ended. */
    void discardRest() {
        if (intake != null) {
            intake.discardRest();
        }
    }

    /**
     * Returns the body as it arrives, with an error above the limit; each buffer is released after its {@code onNext}
     * signal unless it is retained.
     */
    private Flux<ByteBuf> limitedBody(long limitBytes) {
        return Flux.defer(() -> {
            long[] receivedBytes = {0};
            return inbound.receive().doOnNext(part -> {
                receivedBytes[0] += part.readableBytes();
                if (receivedBytes[0] > limitBytes) {
                    throw new RequestRefusal(RefusalReason.BODY_TOO_LARGE);
                }
            });
        });
    }
}
