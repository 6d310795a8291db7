package org.heatherreach.standins;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The body that the backend stand-in returns. It is a function of method, URI, request body and size alone, so a caller
 * computes the expected body from its own request and detects the response of another request. Stateless.
 */
public final class ResponseBody {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private ResponseBody() {}

    /** Returns the body for a request. */
    public static byte[] of(String method, String uri, byte[] requestBody, int sizeBytes) {
        MessageDigest digest = newDigest();
        digest.update((method + " " + uri + "\n").getBytes(StandardCharsets.UTF_8));
        byte[] seed = digest.digest(requestBody);
        long state = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            state = state << 8 | seed[i] & 0xff;
        }
        byte[] body = new byte[sizeBytes];
        long word = 0;
        for (int i = 0; i < sizeBytes; i++) {
            if (i % Long.BYTES == 0) {
                state += GOLDEN_GAMMA;
                word = mix(state);
            }
            body[i] = (byte) word;
            word >>>= 8;
        }
        return body;
    }

    /** Returns the SHA-256 of the bytes in lower-case hexadecimal. */
    public static String sha256(byte[] bytes) {
        return HexFormat.of().formatHex(newDigest().digest(bytes));
    }

    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
