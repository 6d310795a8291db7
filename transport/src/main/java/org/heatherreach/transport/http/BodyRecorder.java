package org.heatherreach.transport.http;

import java.io.ByteArrayOutputStream;

import io.netty.buffer.ByteBuf;

/**
 * Keeps the first bytes of a response body for the record of an execution key. Invariant: at most
 * {@link ProxyLimits#RECORDED_BYTES} are kept. Confined to the event loop that reads the body.
 */
final class BodyRecorder {
    private final boolean recording;
    private final ByteArrayOutputStream kept = new ByteArrayOutputStream();
    private boolean cut;

    /** Creates a recorder; one that is not recording keeps nothing. */
    BodyRecorder(boolean recording) {
        this.recording = recording;
    }

    /** Keeps what still has room; the buffer's reader index does not move. */
    void add(ByteBuf part) {
        if (!recording) {
            return;
        }
        int room = ProxyLimits.RECORDED_BYTES - kept.size();
        int count = Math.min(room, part.readableBytes());
        byte[] bytes = new byte[count];
        part.getBytes(part.readerIndex(), bytes);
        kept.writeBytes(bytes);
        cut |= count < part.readableBytes();
    }

    /** Returns what was kept. */
    byte[] bytes() {
        return kept.toByteArray();
    }

    /** Returns whether the body was longer than what is kept. */
    boolean isCut() {
        return cut;
    }
}
