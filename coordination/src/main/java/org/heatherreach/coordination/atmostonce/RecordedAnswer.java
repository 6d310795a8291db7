package org.heatherreach.coordination.atmostonce;

import java.util.Objects;

/**
 * The answer of a backend server as executor and witnesses record it. Immutable by convention: no code modifies the
 * body.
 *
 * @param status the HTTP status; zero in a withdrawal
 * @param contentType the content type; empty if there was none
 * @param body the body; empty if it was longer than {@link #BODY_LIMIT_BYTES} or the limit of stored
 *     body bytes was reached
 * @param complete whether the body is the whole body of the answer
 */
public record RecordedAnswer(int status, String contentType, byte[] body, boolean complete) {
    /** Longest body that is recorded. */
    public static final int BODY_LIMIT_BYTES = 64 * 1_024;

    /** Withdraws an intent: the attempt ended before the request ran. */
    public static final RecordedAnswer WITHDRAWN = new RecordedAnswer(0, "", new byte[0], false);

    /** Creates an answer. A body longer than {@link #BODY_LIMIT_BYTES} is left out. */
    public RecordedAnswer {
        Objects.requireNonNull(contentType, "contentType");
        if (body.length > BODY_LIMIT_BYTES) {
            body = new byte[0];
            complete = false;
        }
    }

    /** Returns whether this is a withdrawal. */
    public boolean isWithdrawal() {
        return status == 0;
    }

    /** Returns a copy without the body; it is complete only if the body was empty and complete. */
    public RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, new byte[0], body.length == 0 && complete);
    }
}
