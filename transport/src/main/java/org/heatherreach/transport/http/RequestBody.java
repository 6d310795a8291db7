package org.heatherreach.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.publisher.Flux;

/**
 * The body of a caller's request. Immutable apart from the stream, which can be consumed once.
 *
 * @param bytes the whole body if it is buffered, otherwise an empty array
 * @param stream the body as it arrives, or null if it is buffered
 * @param lengthBytes the length of the body, or -1 if it is streamed in chunked encoding
 */
record RequestBody(byte[] bytes, Flux<ByteBuf> stream, long lengthBytes) {
    private static final byte[] NO_BYTES = new byte[0];

    static RequestBody empty() {
        return new RequestBody(NO_BYTES, null, 0);
    }

    static RequestBody retained(byte[] bytes) {
        return new RequestBody(bytes, null, bytes.length);
    }

    static RequestBody streamed(Flux<ByteBuf> stream, long lengthBytes) {
        return new RequestBody(NO_BYTES, stream, lengthBytes);
    }

    boolean isRetained() {
        return stream == null;
    }

    ByteBuf toBuffer() {
        return Unpooled.wrappedBuffer(bytes);
    }
}
