import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message as it was read: start line, headers by lower-case name, and body. */
final class Http {
    String start = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
        return headers.get(name.toLowerCase(Locale.ROOT));
    }

    int status() {
        return Integer.parseInt(start.split(" ")[1]);
    }

    /** Reads a start line and headers; returns null at the end of the connection. */
    static Http readHead(InputStream in) throws IOException {
        Http message = new Http();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        message.start = line;
        while (!(line = required(readLine(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip(),
                    (first, second) -> first + ", " + second);
        }
        return message;
    }

    /** Reads the body; a response without a length ends with its connection. */
    void readBody(InputStream in, boolean untilClose) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        if ("chunked".equals(header("Transfer-Encoding"))) {
            while (true) {
                int size = Integer.parseInt(required(readLine(in)).strip(), 16);
                if (size == 0) {
                    while (!required(readLine(in)).isEmpty()) {
                        // Trailers are not used.
                    }
                    break;
                }
                out.write(readFully(in, size));
                required(readLine(in));
            }
        } else if (header("Content-Length") != null) {
            out.write(readFully(in, Integer.parseInt(header("Content-Length"))));
        } else if (untilClose) {
            out.write(in.readAllBytes());
        }
        body = out.toByteArray();
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ended after " + bytes.length + " of " + size + " bytes");
        }
        return bytes;
    }

    private static String required(String line) throws IOException {
        if (line == null) {
            throw new EOFException("connection ended within a message");
        }
        return line;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("connection ended within a line");
            }
            if (c != '\r') {
                out.write(c);
            }
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
