package org.heatherreach.protocol.http;

import io.vavr.control.Option;

/**
 * The headers of one message that determine the length of its body.
 *
 * <p>Invariant: a message has at most one of a content length and a chunked body. Not safe for concurrent use.
 */
final class LengthHeaders {
    private static final int MAX_LENGTH_DIGITS = 15;

    private long contentLengthBytes = -1;
    private boolean chunked;

    /** Begins the next message. */
    void reset() {
        contentLengthBytes = -1;
        chunked = false;
    }

    /** Returns the value of {@code Content-Length}, or -1 if the header has not been read. */
    long contentLengthBytes() {
        return contentLengthBytes;
    }

    /** Returns whether the body is chunked. */
    boolean isChunked() {
        return chunked;
    }

    /** Reads the value of {@code Content-Length} and returns the violation of the framing rules, if there is one. */
    Option<String> readContentLength(String value) {
        if (contentLengthBytes >= 0) {
            return Option.some("Content-Length given twice");
        }
        if (chunked) {
            return Option.some("both Content-Length and Transfer-Encoding");
        }
        if (value.isEmpty()
                || value.length() > MAX_LENGTH_DIGITS
                || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return Option.some("malformed Content-Length");
        }
        contentLengthBytes = Long.parseLong(value);
        return Option.none();
    }

    /** Reads the value of {@code Transfer-Encoding} and returns the violation of the framing rules, if there is one. */
    Option<String> readTransferEncoding(String value) {
        if (chunked) {
            return Option.some("Transfer-Encoding given twice");
        }
        if (contentLengthBytes >= 0) {
            return Option.some("both Content-Length and Transfer-Encoding");
        }
        if (!"chunked".equalsIgnoreCase(value)) {
            return Option.some("transfer encoding other than chunked");
        }
        chunked = true;
        return Option.none();
    }
}
