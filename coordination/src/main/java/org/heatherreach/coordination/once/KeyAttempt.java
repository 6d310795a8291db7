package org.heatherreach.coordination.once;

import io.vavr.control.Either;

/**
 * One attempt of the executor to run a key. A refusal before dispatch ends an attempt, and the next send starts
 * another. Messages carry the attempt, so that a late withdrawal can't remove the intent of its successor.
 * Immutable and safe for use by any thread.
 *
 * @param key the key
 * @param attempt the number of the attempt, from one
 */
public record KeyAttempt(ExecutionKey key, int attempt) {
    private static final char SEPARATOR = '.';

    /**
     * Creates an attempt.
     *
     * @throws IllegalArgumentException if the number is not positive
     */
    public KeyAttempt {
        if (attempt < 1) {
            throw new IllegalArgumentException("attempt must be positive");
        }
    }

    /** Returns the text form, which the {@code key} field of messages between executor and witness carries. */
    public String toText() {
        return key.toText() + SEPARATOR + attempt;
    }

    /** Parses the text form. */
    public static Either<KeyParseError, KeyAttempt> parse(String text) {
        int at = text.lastIndexOf(SEPARATOR);
        if (at < 0) {
            return Either.left(KeyParseError.FIELDS);
        }
        return ExecutionKey.parse(text.substring(0, at)).flatMap(key -> {
            try {
                return Either.right(new KeyAttempt(key, Integer.parseInt(text.substring(at + 1))));
            } catch (IllegalArgumentException e) {
                return Either.left(KeyParseError.FIELDS);
            }
        });
    }
}
