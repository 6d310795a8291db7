package org.heatherreach.coordination.atmostonce;

import io.vavr.control.Either;

/**
 * One attempt of the executor to run the request of a key. If an attempt is refused before the request runs, the next
 * request with the key starts another attempt. Messages carry the attempt, so that a late withdrawal can't remove the
 * intent of the next attempt. Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param number the number of the attempt, starting at one
 */
public record KeyAttempt(ExecutionKey key, int number) {
    private static final char SEPARATOR = '.';

    /**
     * Creates an attempt.
     *
     * @throws IllegalArgumentException if the number is not positive
     */
    public KeyAttempt {
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be positive");
        }
    }

    /** Returns the text form, which is sent in the {@code key} field of messages between executor and witness. */
    public String toText() {
        return key.toText() + SEPARATOR + number;
    }

    /** Parses the text form. */
    public static Either<KeyParseError, KeyAttempt> parse(String text) {
        int separatorIndex = text.lastIndexOf(SEPARATOR);
        if (separatorIndex < 0) {
            return Either.left(KeyParseError.FIELDS);
        }
        return ExecutionKey.parse(text.substring(0, separatorIndex)).flatMap(key -> {
            try {
                return Either.right(new KeyAttempt(key, Integer.parseInt(text.substring(separatorIndex + 1))));
            } catch (IllegalArgumentException e) {
                return Either.left(KeyParseError.FIELDS);
            }
        });
    }
}
