package org.heatherreach.transport.http;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Records the first bytes of a response body for an execution key. Invariant: at most
 * {@link ProxyLimits#RECORDED_BYTES} are recorded. Confined to the event loop that reads the body.
 */
final class BodyRecorder {
    private final boolean recording;
    private final ByteArrayOutputStream recorded = new ByteArrayOutputStream();
    private boolean truncated;

    /** Creates a recorder that stores data only if {@code recording} is set. */
    BodyRecorder(boolean recording) {
        this.recording = recording;
    }

    /** Records as much of the buffer as still fits; the reader index of the buffer does not change. */
    void append(ByteBuf part) {
        if (!recording) {
            return;
        }
        int room = ProxyLimits.RECORDED_BYTES - recorded.size();
        int count = Math.min(room, part.readableBytes());
        byte[] bytes = new byte[count];
        part.getBytes(part.readerIndex(), bytes);
        recorded.writeBytes(bytes);
        truncated |= count < part.readableBytes();
    }

    /** Returns the recorded bytes. */
    byte[] bytes() {
        return recorded.toByteArray();
    }

    /** Returns whether the body was longer than the recorded bytes. */
    boolean isTruncated() {
        return truncated;
    }
}
