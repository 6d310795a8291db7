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
 * Reads the body of a caller's request: completely if it has a key or is small enough to be sent again, else as a
 * stream. Invariant: never passes on more bytes than the limits allow. Confined to the event loop of the caller's
 * connection.
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
            // Read to its end even if the request is refused meanwhile: a body that is left half consumed would leave
            // the HTTP server waiting for it, or make it reset the connection before the answer is written.
            return DetachedMono.of(checked(limitBytes)
                    .collect(ByteArrayOutputStream::new, RequestBodyReader::append)
                    .map(all -> RequestBody.retained(all.toByteArray())));
        }
        return Mono.just(RequestBody.streamed(checked(limitBytes).map(ByteBuf::retain), chunked ? -1 : lengthBytes));
    }

    /** Returns the body as it arrives; each buffer is released when its signal returns, unless it is retained. */
    private Flux<ByteBuf> checked(long limitBytes) {
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

    private static void append(ByteArrayOutputStream all, ByteBuf part) {
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        all.writeBytes(bytes);
    }
}
