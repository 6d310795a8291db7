package org.heatherreach.coordination.atmostonce;

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
 * Identifies a request that runs at most once, and names the one daemon incarnation that may dispatch it and its two
 * witnesses. Immutable and safe for use by any thread.
 *
 * <p>The text form is a prefix followed by URL-safe Base64. The encoded bytes end with a checksum that detects damage.
 * The checksum is not a signature: callers are trusted not to forge keys.
 *
 * @param issuer the incarnation that issued the key and is its executor
 * @param issuerAddress the HTTP address at which callers and other daemons reach the executor
 * @param firstWitness a witness, normally in the executor's zone
 * @param secondWitness another witness, normally in another zone
 * @param sequence the sequence number of the key; each issuer assigns ascending numbers
 * @param expiryNanos the expiry by the issuer's monotonic clock; not comparable with the clock of another daemon
 */
public record ExecutionKey(
        IncarnationId issuer,
        MemberAddress issuerAddress,
        IncarnationId firstWitness,
        IncarnationId secondWitness,
        long sequence,
        long expiryNanos) {
    private static final String PREFIX = "hk1";
    private static final int FIXED_FIELDS_BYTES = 5 * Long.BYTES + Short.BYTES;
    private static final int CHECKSUM_BYTES = Integer.BYTES;
    private static final int MAX_TEXT_LENGTH = 256;
    private static final LongHashFunction HASH = LongHashFunction.xx();

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the sequence is negative, or the issuer and the witnesses are not distinct
     */
    public ExecutionKey {
        Objects.requireNonNull(issuerAddress, "issuerAddress");
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence must not be negative");
        }
        if (firstWitness.equals(secondWitness) || firstWitness.equals(issuer) || secondWitness.equals(issuer)) {
            throw new IllegalArgumentException("issuer and witnesses must be three distinct incarnations");
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

    /** Returns the canonical text form. */
    public String toText() {
        byte[] host = issuerAddress.host().getBytes(StandardCharsets.US_ASCII);
        ByteBuffer out = ByteBuffer.allocate(FIXED_FIELDS_BYTES + host.length + CHECKSUM_BYTES);
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

    /** Parses the canonical text form. */
    public static Either<KeyParseError, ExecutionKey> parse(String text) {
        if (!text.startsWith(PREFIX)) {
            return Either.left(KeyParseError.PREFIX);
        }
        if (text.length() > MAX_TEXT_LENGTH) {
            return Either.left(KeyParseError.ALPHABET);
        }
        byte[] bytes;
        try {
            bytes = Base64.getUrlDecoder().decode(text.substring(PREFIX.length()));
        } catch (IllegalArgumentException e) {
            return Either.left(KeyParseError.ALPHABET);
        }
        if (bytes.length <= FIXED_FIELDS_BYTES + CHECKSUM_BYTES) {
            return Either.left(KeyParseError.FIELDS);
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        int checksumOffset = bytes.length - CHECKSUM_BYTES;
        if (in.getInt(checksumOffset) != (int) HASH.hashBytes(bytes, 0, checksumOffset)) {
            return Either.left(KeyParseError.CHECKSUM);
        }
        try {
            IncarnationId issuer = new IncarnationId(in.getLong());
            IncarnationId firstWitness = new IncarnationId(in.getLong());
            IncarnationId secondWitness = new IncarnationId(in.getLong());
            long sequence = in.getLong();
            long expiryNanos = in.getLong();
            int port = Short.toUnsignedInt(in.getShort());
            String host = new String(
                    bytes, FIXED_FIELDS_BYTES, checksumOffset - FIXED_FIELDS_BYTES, StandardCharsets.US_ASCII);
            ExecutionKey key = new ExecutionKey(
                    issuer, new MemberAddress(host, port), firstWitness, secondWitness, sequence, expiryNanos);
            // Only the canonical text is accepted: a second text of the same key would be treated as another key
            // wherever texts are compared.
            return key.toText().equals(text) ? Either.right(key) : Either.left(KeyParseError.ALPHABET);
        } catch (BufferUnderflowException | IllegalArgumentException e) {
            return Either.left(KeyParseError.FIELDS);
        }
    }

    /** Returns a short form for logs. The text form would allow readers of the logs to query the outcome. */
    @Override
    public String toString() {
        return issuer + "#" + sequence;
    }
}
