package org.heatherreach.daemon.site;

/** A listener failed to apply an event of the store. Immutable but for its suppressed exceptions. */
final class KeyListenerException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param prefix the prefix of the keys that the listener follows
     * @param cause what the listener threw
     * @param earlier the failure of an earlier listener at the same event; null if there is none
     */
    KeyListenerException(String prefix, Throwable cause, KeyListenerException earlier) {
        super("the listener of the keys with the prefix " + prefix + " failed", cause);
        if (earlier != null) {
            addSuppressed(earlier);
        }
    }
}
