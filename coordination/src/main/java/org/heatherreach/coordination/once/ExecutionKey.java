package org.heatherreach.coordination.once;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Objects;

import io.vavr.control.Either;
import net.openhft.hashing.LongHashFunction;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.state.id.IncarnationId;

/**
 * Names the one daemon incarnation that may run a request, and the two witnesses of it.
 * Immutable and safe for use by any thread.
 *
 * <p>The text form is a prefix and URL-safe Base64 that ends with a checksum against damage. It is no signature:
 * callers are trusted not to forge keys.
 *
 * @param issuer the executor
 * @param issuerAddress where callers and other daemons reach the executor over HTTP
 * @param firstWitness a witness, normally in the executor's zone
 * @param secondWitness another witness, normally in another zone
 * @param sequence ascending per issuer
 * @param expiryNanos the expiry by the issuer's monotonic clock; meaningless elsewhere
 */
public record ExecutionKey(
        IncarnationId issuer,
        MemberAddress issuerAddress,
        IncarnationId firstWitness,
        IncarnationId secondWitness,
        long sequence,
        long expiryNanos) {
    private static final String PREFIX = "hk1";
    private static final int FIXED_BYTES = 5 * Long.BYTES + Short.BYTES;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int TEXT_LIMIT = 256;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the sequence is negative, or the witnesses are the same or the issuer
     */
    public ExecutionKey {
        Objects.requireNonNull(issuerAddress, "issuerAddress");
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence must not be negative");
        }
        if (firstWitness.equals(secondWitness) || firstWitness.equals(issuer) || secondWitness.equals(issuer)) {
            throw new IllegalArgumentException("issuer and witnesses must be three daemons");
        }
    }

    /** Returns both witnesses. */
    public List<IncarnationId> witnesses() {
        return List.of(firstWitness, secondWitness);
    }

    /** Returns whether an incarnation is a witness of this key. */
    public boolean isWitness(IncarnationId incarnation) {
        return firstWitness.equals(incarnation) || secondWitness.equals(incarnation);
    }

    /** Returns the text form. */
    public String toText() {
        byte[] host = issuerAddress.host().getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(FIXED_BYTES + host.length + CHECKSUM_BYTES);
        out.putLong(issuer.value())
                .putLong(firstWitness.value())
                .putLong(secondWitness.value())
                .putLong(sequence)
                .putLong(expiryNanos)
                .putShort((short) issuerAddress.port())
                .put(host);
        out.putInt((int) HASH.hashBytes(out.array(), 0, out.position()));
        return PREFIX + Base64.getUrlEncoder().withoutPadding().encodeToString(out.array());
    }

    /** Parses the text form. */
    public static Either<KeyParseError, ExecutionKey> parse(String text) {
        if (!text.startsWith(PREFIX)) {
            return Either.left(KeyParseError.PREFIX);
        }
        if (text.length() > TEXT_LIMIT) {
            return Either.left(KeyParseError.ALPHABET);
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.substring(PREFIX.length()));
        } catch (IllegalArgumentException e) {
            return Either.left(KeyParseError.ALPHABET);
        }
        if (bytes.length <= FIXED_BYTES + CHECKSUM_BYTES) {
            return Either.left(KeyParseError.FIELDS);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int end = bytes.length - CHECKSUM_BYTES;
        if (in.getInt(end) != (int) HASH.hashBytes(bytes, 0, end)) {
            return Either.left(KeyParseError.CHECKSUM);
        }
        try {
            IncarnationId issuer = new IncarnationId(in.getLong());
            IncarnationId first = new IncarnationId(in.getLong());
            IncarnationId second = new IncarnationId(in.getLong());
            long sequence = in.getLong();
            long expiryNanos = in.getLong();
            int port = Short.toUnsignedInt(in.getShort());
            String host = new String(bytes, FIXED_BYTES, end - FIXED_BYTES, StandardCharsets.US_ASCII);
            ExecutionKey key =
                    new ExecutionKey(issuer, new MemberAddress(host, port), first, second, sequence, expiryNanos);
            // A second text of one key would count as another key wherever texts are compared.
            return key.toText().equals(text) ? Either.right(key) : Either.left(KeyParseError.ALPHABET);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Either.left(KeyParseError.FIELDS);
        }
    }

    /** Returns a short form for logs; the text form would let a reader of logs ask for the outcome. */
    @Override
    public String toString() {
        return issuer + "#" + sequence;
    }
}
