package org.heatherreach.protocol.peer;

import java.util.function.Supplier;

/** Converts the exceptions of value types to {@link MessageException}. Stateless and safe for use by any thread. */
final class MessageDecoding {
    private MessageDecoding() {}

    static <T> T decode(String messageType, Supplier<T> decoder) {
        try {
            return decoder.get();
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new MessageException(messageType, e);
        }
    }
}
