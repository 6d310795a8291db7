package org.heatherreach.transport.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Collects the parts of a body on the heap. It grows by segments, so that it never holds much more than it contains and
 * no receive buffer stays in use.
 *
 * <p>Not safe for use by several threads.
 */
final class SegmentedBuffer {
    private static final int MIN_SEGMENT_BYTES = 256;
    private static final int MAX_SEGMENT_BYTES = 16 * 1024;

    private final List<byte[]> segments = new ArrayList<>();
    private int usedInLastBytes;
    private int sizeBytes;

    /** Copies a part; its reader index does not change. */
    void append(ByteBuf part) {
        int index = part.readerIndex();
        int end = part.writerIndex();
        while (index < end) {
            byte[] segment = segmentWithRoom(end - index);
            int count = Math.min(end - index, segment.length - usedInLastBytes);
            part.getBytes(index, segment, usedInLastBytes, count);
            usedInLastBytes += count;
            sizeBytes += count;
            index += count;
        }
    }

    int sizeBytes() {
        return sizeBytes;
    }

    /** Returns the content in one array. */
    byte[] toBytes() {
        byte[] bytes = new byte[sizeBytes];
        int position = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, sizeBytes - position);
            System.arraycopy(segment, 0, bytes, position, count);
            position += count;
        }
        return bytes;
    }

    void clear() {
        segments.clear();
        usedInLastBytes = 0;
        sizeBytes = 0;
    }

    private byte[] segmentWithRoom(int neededBytes) {
        if (!segments.isEmpty()) {
            byte[] last = segments.get(segments.size() - 1);
            if (usedInLastBytes < last.length) {
                return last;
            }
        }
        int lengthBytes = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, Math.max(neededBytes, sizeBytes)));
        segments.add(new byte[lengthBytes]);
        usedInLastBytes = 0;
        return segments.get(segments.size() - 1);
    }
}
