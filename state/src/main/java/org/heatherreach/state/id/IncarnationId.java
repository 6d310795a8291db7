package org.heatherreach.state.id;

/**
 * Identifies one process start of a daemon. A VM that replaces another one at the same address has a different
 * incarnation. Immutable and safe for use by any thread.
 *
 * @param value a random number drawn when the process starts
 */
public record IncarnationId(long value) implements Comparable<IncarnationId> {
    /** Orders incarnations by their unsigned value; the order carries no meaning. */
    @Override
    public int compareTo(IncarnationId other) {
        return Long.compareUnsigned(value, other.value);
    }

    /**
     * Parses the hexadecimal form.
     *
     * @throws NumberFormatException if the text is not an unsigned hexadecimal number
     */
    public static IncarnationId parse(String text) {
        return new IncarnationId(Long.parseUnsignedLong(text, 16));
    }

    /** Returns the unsigned hexadecimal form. */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
