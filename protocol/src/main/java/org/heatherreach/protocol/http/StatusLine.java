package org.heatherreach.protocol.http;

import io.vavr.control.Either;

/** Parses the first line of a response. Stateless. */
public final class StatusLine {
    /** The only interim status that is accepted. */
    public static final int CONTINUE = 100;

    private static final int VERSION_LENGTH = "HTTP/1.1".length();
    private static final int STATUS_START = VERSION_LENGTH + 1;
    private static final int STATUS_END = STATUS_START + 3;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL = 200;
    private static final int MAX_FINAL = 599;

    private StatusLine() {}

    /**
     * Returns the status, which is 100 or from 200 to 599, or why there is none.
     *
     * @param line the line, or its first characters, without the line end; each character is one byte
     */
    public static Either<InvalidStatus, Integer> parse(CharSequence line) {
        if (!hasVersion(line)) {
            return Either.left(InvalidStatus.VERSION);
        }
        int status = statusOf(line);
        if (status < CONTINUE || status > MAX_FINAL) {
            return Either.left(InvalidStatus.STATUS);
        }
        if (status == SWITCHING_PROTOCOLS) {
            return Either.left(InvalidStatus.UPGRADE);
        }
        return status > CONTINUE && status < MIN_FINAL ? Either.left(InvalidStatus.INTERIM) : Either.right(status);
    }

    private static boolean hasVersion(CharSequence line) {
        if (line.length() < VERSION_LENGTH) {
            return false;
        }
        String version = line.subSequence(0, VERSION_LENGTH).toString();
        boolean known = "HTTP/1.1".equals(version) || "HTTP/1.0".equals(version);
        return known && (line.length() == VERSION_LENGTH || line.charAt(VERSION_LENGTH) == ' ');
    }

    /** Returns the number after the version; -1 unless it has three digits and is followed by a space or nothing. */
    private static int statusOf(CharSequence line) {
        boolean complete =
                line.length() == STATUS_END || (line.length() > STATUS_END && line.charAt(STATUS_END) == ' ');
        if (!complete) {
            return -1;
        }
        int status = 0;
        for (int i = STATUS_START; i < STATUS_END; i++) {
            char digit = line.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            status = status * 10 + digit - '0';
        }
        return status;
    }
}
