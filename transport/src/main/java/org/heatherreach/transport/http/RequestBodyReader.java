package org.heatherreach.transport.http;

import java.io.ByteArrayOutputStream;
import java.util.Objects;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.heatherreach.state.outcome.RefusalReason;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Reads the body of a caller's request. The body is buffered if the request has a key, or if its length shows that
 * it is small enough to be kept for a retry; any other body is streamed. Invariant: never passes on more bytes than the
 * limits allow. Confined to the event loop of the caller's connection.
 */
final class RequestBodyReader {
    private final ProxyLimits limits;
    private final CallerRequest request;
    private final HttpServerRequest inbound;

    /** Creates a reader for one request. */
    RequestBodyReader(ProxyLimits limits, CallerRequest request, HttpServerRequest inbound) {
        this.limits = Objects.requireNonNull(limits, "limits");
        this.request = Objects.requireNonNull(request, "request");
        this.inbound = Objects.requireNonNull(inbound, "inbound");
    }

    /** Returns the body, or a {@link RequestRefusal} if it is too large. */
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
        if (keyed || (!chunked && lengthBytes <= limits.retainedBodyBytes())) {
            // Read to the end even if the request is refused in the meantime: with a partly consumed body the HTTP
            // server would wait for the rest, or reset the connection before the response is written.
            return DetachedMono.of(limitedBody(limitBytes)
                    .collect(ByteArrayOutputStream::new, RequestBodyReader::append)
                    .map(collected -> RequestBody.retained(collected.toByteArray())));
        }
        return Mono.just(
                RequestBody.streamed(limitedBody(limitBytes).map(ByteBuf::retain), chunked ? -1 : lengthBytes));
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

    private static void append(ByteArrayOutputStream target, ByteBuf part) {
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        target.writeBytes(bytes);
    }
}
