package org.heatherreach.coordination.crash;

/**
 * Identifies a request by its content, so that it is recognised when its caller sends it again. Immutable and safe for
 * use by any thread.
 *
 * @param value a hash of service, method, path and key or body digest
 */
public record Fingerprint(long value) implements Comparable<Fingerprint> {
    /** Orders fingerprints by their unsigned values; the order has no meaning beyond being the same in every daemon. */
    @Override
    public int compareTo(Fingerprint other) {
        return Long.compareUnsigned(value, other.value);
    }

    /** Returns the unsigned hexadecimal form. */
    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
