package org.heatherreach.coordination.once;

import java.util.Objects;

/**
 * A server's answer as it is recorded. Immutable by convention: nobody changes the body.
 *
 * @param status the HTTP status; zero in a withdrawal
 * @param contentType the content type; empty if there was none
 * @param body the body; empty if it was longer than {@link #BODY_LIMIT_BYTES} or memory was short
 * @param complete whether the body is the whole one
 */
public record RecordedAnswer(int status, String contentType, byte[] body, boolean complete) {
    /** Limit of a recorded body. */
    public static final int BODY_LIMIT_BYTES = 64 * 1_024;

    /** Tells the witnesses that an attempt ended before the request ran. */
    public static final RecordedAnswer WITHDRAWN = new RecordedAnswer(0, "", new byte[0], false);

    /** Creates an answer; a longer body is left out. */
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

    /** Returns a copy without the body. */
    public RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, new byte[0], body.length == 0 && complete);
    }
}
