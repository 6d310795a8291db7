package org.heatherreach.transport.kv;

import java.util.List;

import org.heatherreach.protocol.kv.KeyValue;

/** Why a call to the key-value service failed. Immutable. */
public sealed interface KeyValueError {
    /** Returns the reason as text for logs and operators. */
    String reason();

    /** Returns whether the same call may succeed later. */
    default boolean isTransient() {
        return true;
    }

    /**
     * The service could not be reached or refused the call; a write had no effect.
     *
     * @param reason the reason
     */
    record Unavailable(String reason) implements KeyValueError {}

    /**
     * No response to a write arrived. The write may have taken effect, or may still do so.
     *
     * @param reason the reason
     */
    record UnknownEffect(String reason) implements KeyValueError {}

    /**
     * A condition of a transaction did not hold; the transaction had no effect.
     *
     * @param steps the keys that each failure step of the transaction read
     */
    record Conflict(List<List<KeyValue>> steps) implements KeyValueError {
        /** Creates an error. */
        public Conflict {
            steps = List.copyOf(steps);
        }

        @Override
        public String reason() {
            return "a condition of the transaction did not hold";
        }

        @Override
        public boolean isTransient() {
            return false;
        }
    }

    /**
     * The value or the request exceeds a limit of the service.
     *
     * @param reason the reason
     */
    record TooLarge(String reason) implements KeyValueError {
        @Override
        public boolean isTransient() {
            return false;
        }
    }

    /**
     * The rate limit of the service was exceeded; a write had no effect.
     *
     * @param reason the reason
     */
    record RateLimited(String reason) implements KeyValueError {}

    /**
     * The service rejected the call as invalid, or its response could not be parsed.
     *
     * @param reason the reason
     */
    record Rejected(String reason) implements KeyValueError {
        @Override
        public boolean isTransient() {
            return false;
        }
    }
}
