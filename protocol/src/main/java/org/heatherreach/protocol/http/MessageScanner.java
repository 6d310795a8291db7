package org.heatherreach.protocol.http;

import java.util.Locale;

import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * Parses the framing of HTTP/1.1 messages byte by byte and rejects every form that two parsers could interpret
 * differently: two length headers, repeated or malformed lengths, folded lines, spaces before a colon, bare line feeds,
 * chunk extensions and malformed chunk sizes. It does not store messages; its user forwards the bytes.
 *
 * <p>Use: while {@link #skippable} is positive, {@link #skip} that many body bytes at once; otherwise {@link #accept}
 * one byte. After {@link State#ENDED} or {@link State#INTERIM}, {@link #reset} begins the next message.
 *
 * <p>Invariant: the scanner never leaves the state {@link State#FAILED}. Not safe for concurrent use.
 */
public final class MessageScanner {
    /** The position of the scanner in a message. */
    public enum State {
        /** Before the first byte. */
        IDLE,
        /** In the start line or the headers. */
        HEAD,
        /** In the body, the chunk sizes or the trailers. */
        BODY,
        /** In a body that ends when the connection closes. */
        UNTIL_CLOSE,
        /** After a response with the status 100, which is followed by another head. */
        INTERIM,
        /** After the last byte. */
        ENDED,
        /** After a violation of the framing rules. */
        FAILED
    }

    private enum Step {
        START_LINE,
        START_LINE_END,
        HEADER_START,
        HEADER_NAME,
        HEADER_VALUE,
        HEADER_VALUE_END,
        HEAD_END,
        CHUNK_SIZE,
        CHUNK_SIZE_END,
        CHUNK_DATA,
        CHUNK_DATA_CR,
        CHUNK_DATA_LF,
        FIXED_DATA
    }

    private static final int MAX_CHUNK_DIGITS = 8;
    private static final int MAX_NAME_BYTES = 256;
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private final boolean scansRequests;
    private final int maxHeadBytes;
    private final StringBuilder text = new StringBuilder();
    private final LengthHeaders lengthHeaders = new LengthHeaders();
    private String headerName = "";
    private State state = State.IDLE;
    private Step step = Step.START_LINE;
    private String violation = "";
    private Option<InvalidStatus> invalidStatus = Option.none();
    private boolean bodyless;
    private boolean inTrailers;
    private int headBytes;
    private int hostHeaderCount;
    private int statusCode;
    private int chunkDigits;
    private long remaining;

    private MessageScanner(boolean scansRequests, int maxHeadBytes) {
        if (maxHeadBytes < 1) {
            throw new IllegalArgumentException("maxHeadBytes must be positive");
        }
        this.scansRequests = scansRequests;
        this.maxHeadBytes = maxHeadBytes;
    }

    /** Returns a scanner for requests whose heads, and trailers, have at most the given size. */
    public static MessageScanner forRequests(int maxHeadBytes) {
        return new MessageScanner(true, maxHeadBytes);
    }

    /** Returns a scanner for responses whose heads, and trailers, have at most the given size. */
    public static MessageScanner forResponses(int maxHeadBytes) {
        return new MessageScanner(false, maxHeadBytes);
    }

    /**
     * Begins the next message.
     *
     * @param withoutBody whether the message is the response to a {@code HEAD} request, which never has a body
     * @throws IllegalStateException if the scanner has failed
     */
    public void reset(boolean withoutBody) {
        if (state == State.FAILED) {
            throw new IllegalStateException("the scanner has failed: " + violation);
        }
        state = State.IDLE;
        step = Step.START_LINE;
        bodyless = withoutBody;
        inTrailers = false;
        headBytes = 0;
        hostHeaderCount = 0;
        statusCode = 0;
        lengthHeaders.reset();
        remaining = 0;
        text.setLength(0);
    }

    /** Returns the position of the scanner in the message. */
    public State state() {
        return state;
    }

    /** Returns the status code of a response whose head has been read. */
    public int statusCode() {
        return statusCode;
    }

    /** Returns the violation that the scanner failed with, or an empty text. */
    public String violation() {
        return violation;
    }

    /** Returns why the status line of a response is invalid; empty unless the scanner failed for that reason. */
    public Option<InvalidStatus> invalidStatus() {
        return invalidStatus;
    }

    /** Returns how many of the next bytes are body bytes that need no inspection. */
    public long skippable() {
        if (state == State.UNTIL_CLOSE) {
            return Long.MAX_VALUE;
        }
        return step == Step.FIXED_DATA || step == Step.CHUNK_DATA ? remaining : 0;
    }

    /**
     * Skips body bytes.
     *
     * @throws IllegalArgumentException if the count exceeds {@link #skippable}
     */
    public void skip(long count) {
        if (count < 0 || count > skippable()) {
            throw new IllegalArgumentException("cannot skip " + count + " bytes");
        }
        if (state == State.UNTIL_CLOSE) {
            return;
        }
        remaining -= count;
        if (remaining == 0) {
            if (step == Step.FIXED_DATA) {
                state = State.ENDED;
            } else {
                step = Step.CHUNK_DATA_CR;
            }
        }
    }

    /**
     * Inspects one byte.
     *
     * @throws IllegalStateException if the message has ended or failed, or if the byte is to be skipped
     */
    public void accept(byte value) {
        if (state == State.ENDED || state == State.INTERIM || state == State.FAILED || skippable() > 0) {
            throw new IllegalStateException("no byte is expected in " + state);
        }
        int c = value & 0xff;
        if (state == State.IDLE) {
            state = State.HEAD;
        }
        if ((state == State.HEAD || inTrailers) && ++headBytes > maxHeadBytes) {
            fail("head larger than " + maxHeadBytes + " bytes");
            return;
        }
        switch (step) {
            case START_LINE -> startLine(c);
            case START_LINE_END -> lineEnd(c, Step.HEADER_START);
            case HEADER_START -> headerStart(c);
            case HEADER_NAME -> headerName(c);
            case HEADER_VALUE -> headerValue(c);
            case HEADER_VALUE_END -> headerValueEnd(c);
            case HEAD_END -> headEnd(c);
            case CHUNK_SIZE -> chunkSize(c);
            case CHUNK_SIZE_END -> chunkSizeEnd(c);
            case CHUNK_DATA_CR -> expect(c, '\r', Step.CHUNK_DATA_LF, "chunk longer than its size");
            case CHUNK_DATA_LF -> {
                expect(c, '\n', Step.CHUNK_SIZE, "chunk longer than its size");
                startChunkSize();
            }
            default -> throw new IllegalStateException("no byte is expected in " + step);
        }
    }

    private void startLine(int c) {
        if (c == '\r') {
            step = Step.START_LINE_END;
            if (scansRequests) {
                checkRequestLine();
            } else {
                checkStatusLine();
            }
        } else if (c < 0x20 || c == 0x7f || (scansRequests && c > 0x7f)) {
            fail("control or non-ASCII character in the start line");
        } else {
            text.append((char) c);
        }
    }

    private void checkRequestLine() {
        String[] parts = text.toString().split(" ", -1);
        if (parts.length != 3 || parts[0].isEmpty() || parts[1].isEmpty()) {
            fail("request line without exactly three parts");
        } else if (!parts[0].chars().allMatch(MessageScanner::isTokenChar)) {
            fail("malformed method");
        } else if (!"HTTP/1.1".equals(parts[2])) {
            fail("version other than HTTP/1.1");
        }
        text.setLength(0);
    }

    private void checkStatusLine() {
        Either<InvalidStatus, Integer> status = StatusLine.parse(text);
        if (status.isLeft()) {
            invalidStatus = Option.some(status.getLeft());
            fail("invalid status line: " + status.getLeft().label());
        } else {
            statusCode = status.get();
        }
        text.setLength(0);
    }

    private void headerStart(int c) {
        if (c == '\r') {
            step = Step.HEAD_END;
        } else if (c == ' ' || c == '\t') {
            fail("folded header line");
        } else {
            step = Step.HEADER_NAME;
            text.setLength(0);
            headerName(c);
        }
    }

    private void headerName(int c) {
        if (c == ':' && text.length() > 0) {
            headerName = text.toString().toLowerCase(Locale.ROOT);
            text.setLength(0);
            step = Step.HEADER_VALUE;
        } else if (!isTokenChar(c)) {
            fail("malformed header name");
        } else if (text.length() >= MAX_NAME_BYTES) {
            fail("header name longer than " + MAX_NAME_BYTES + " bytes");
        } else {
            text.append((char) c);
        }
    }

    private void headerValue(int c) {
        if (c == '\r') {
            step = Step.HEADER_VALUE_END;
        } else if ((c < 0x20 && c != '\t') || c == 0x7f) {
            fail("control character in a header value");
        } else {
            text.append((char) c);
        }
    }

    private void headerValueEnd(int c) {
        lineEnd(c, Step.HEADER_START);
        if (state == State.FAILED) {
            return;
        }
        String value = text.toString().strip();
        switch (headerName) {
            case "content-length" -> readContentLength(value);
            case "transfer-encoding" -> readTransferEncoding(value);
            case "host" -> hostHeaderCount++;
            default -> {}
        }
    }

    private void readContentLength(String value) {
        if (inTrailers) {
            fail("length header in the trailers");
        } else {
            lengthHeaders.readContentLength(value).forEach(this::fail);
        }
    }

    private void readTransferEncoding(String value) {
        if (inTrailers) {
            fail("length header in the trailers");
        } else {
            lengthHeaders.readTransferEncoding(value).forEach(this::fail);
        }
    }

    private void headEnd(int c) {
        if (c != '\n') {
            fail("carriage return without line feed");
        } else if (inTrailers) {
            state = State.ENDED;
        } else if (scansRequests && hostHeaderCount != 1) {
            fail("not exactly one Host header");
        } else if (!scansRequests && statusCode < 200) {
            state = State.INTERIM;
        } else {
            startBody();
        }
    }

    private void startBody() {
        long contentLength = lengthHeaders.contentLengthBytes();
        boolean chunked = lengthHeaders.isChunked();
        boolean noBody = bodyless || (!scansRequests && (statusCode == 204 || statusCode == 304));
        if (noBody || contentLength == 0 || (scansRequests && !chunked && contentLength < 0)) {
            state = State.ENDED;
        } else if (chunked) {
            state = State.BODY;
            step = Step.CHUNK_SIZE;
            startChunkSize();
        } else if (contentLength > 0) {
            state = State.BODY;
            step = Step.FIXED_DATA;
            remaining = contentLength;
        } else {
            state = State.UNTIL_CLOSE;
        }
    }

    private void startChunkSize() {
        chunkDigits = 0;
        remaining = 0;
    }

    private void chunkSize(int c) {
        int digit = Character.digit(c < 0x80 ? c : 0, 16);
        if (digit >= 0 && chunkDigits < MAX_CHUNK_DIGITS) {
            chunkDigits++;
            remaining = remaining * 16 + digit;
        } else if (c == '\r' && chunkDigits > 0) {
            step = Step.CHUNK_SIZE_END;
        } else {
            fail("malformed chunk size or chunk extension");
        }
    }

    private void chunkSizeEnd(int c) {
        if (c != '\n') {
            fail("carriage return without line feed");
        } else if (remaining > 0) {
            step = Step.CHUNK_DATA;
        } else {
            inTrailers = true;
            headBytes = 0;
            step = Step.HEADER_START;
        }
    }

    private void lineEnd(int c, Step next) {
        expect(c, '\n', next, "carriage return without line feed");
    }

    private void expect(int c, char expected, Step next, String message) {
        if (state == State.FAILED) {
            return;
        }
        if (c == expected) {
            step = next;
        } else {
            fail(message);
        }
    }

    private void fail(String message) {
        state = State.FAILED;
        violation = message;
    }

    private static boolean isTokenChar(int c) {
        return (c >= '0' && c <= '9')
                || (c >= 'a' && c <= 'z')
                || (c >= 'A' && c <= 'Z')
                || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }
}
