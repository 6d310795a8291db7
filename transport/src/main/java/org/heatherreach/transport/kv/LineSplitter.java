package org.heatherreach.transport.kv;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

/** Splits a stream of bytes at newlines. Confined to one sequential subscription. */
final class LineSplitter {
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /** Adds bytes and returns the lines that they complete, without newlines and without empty lines. */
    List<byte[]> feed(byte[] bytes) {
        List<byte[]> lines = new ArrayList<>();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\n') {
                partial.write(bytes, start, i - start);
                if (partial.size() > 0) {
                    lines.add(partial.toByteArray());
                }
                partial.reset();
                start = i + 1;
            }
        }
        partial.write(bytes, start, bytes.length - start);
        return lines;
    }
}
