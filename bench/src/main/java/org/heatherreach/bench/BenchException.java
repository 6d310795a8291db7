package org.heatherreach.bench;

/** Thrown when a measurement could not be carried out. Immutable. */
public final class BenchException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with the reason. */
    public BenchException(String message) {
        super(message);
    }

    /** Creates an exception with the reason and its cause. */
    public BenchException(String message, Throwable cause) {
        super(message, cause);
    }
}
