import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The little of HTTP/1.1 that the stand-ins need. */
final class Http {
    private Http() {}

    /** A message; headers have lower-case names. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    static Map<String, String> query(String text) {
        Map<String, String> parameters = new HashMap<>();
        for (String part : text.split("&")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                parameters.put(
                        part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return parameters;
    }

    /** Reads messages from a connection. */
    static final class Reader {
        private final InputStream in;

        Reader(InputStream in) {
            this.in = new java.io.BufferedInputStream(in, 64 * 1024);
        }

        /** Reads a head; null at the end of the connection. */
        Message readHead() throws IOException {
            String startLine = readLine(true);
            if (startLine == null) {
                return null;
            }
            Map<String, String> headers = new HashMap<>();
            for (String line = readLine(false); !line.isEmpty(); line = readLine(false)) {
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            }
            return new Message(startLine, headers, new byte[0]);
        }

        /** Reads a whole message; an answer without a length lasts until the end of the connection. */
        Message readMessage(boolean isAnswer, long maxBytes) throws IOException {
            Message head = readHead();
            return head == null ? null : new Message(head.startLine, head.headers, readBody(head, isAnswer, maxBytes));
        }

        byte[] readBody(Message head, boolean isAnswer, long maxBytes) throws IOException {
            if ("chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                while (true) {
                    int size = Integer.parseInt(readLine(false).strip(), 16);
                    if (size == 0) {
                        while (!readLine(false).isEmpty()) {
                            // Trailers are ignored.
                        }
                        return body.toByteArray();
                    }
                    body.write(readBytes(size));
                    readLine(false);
                }
            }
            String length = head.headers.get("content-length");
            if (length != null) {
                return readBytes(Integer.parseInt(length));
            }
            return isAnswer ? in.readAllBytes() : new byte[0];
        }

        private byte[] readBytes(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("the connection ended in a body");
            }
            return bytes;
        }

        private String readLine(boolean endAllowed) throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            while (true) {
                int c = in.read();
                if (c < 0) {
                    if (endAllowed && line.size() == 0) {
                        return null;
                    }
                    throw new EOFException("the connection ended in a head");
                }
                if (c == '\n') {
                    return line.toString(StandardCharsets.ISO_8859_1);
                }
                if (c != '\r') {
                    line.write(c);
                }
            }
        }
    }
}
