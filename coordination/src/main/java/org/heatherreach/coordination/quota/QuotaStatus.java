package org.heatherreach.coordination.quota;

import java.util.Locale;
import java.util.Objects;

/**
 * What a daemon knows of the quota of a workspace. Immutable and safe for use by any thread.
 *
 * @param heldCredits the credits that have not expired
 * @param waitingRequests the requests that wait for credits
 * @param ownerReplied whether the owner of the partition has replied since the start and does not fail to reply now
 * @param next what would happen to the next request
 * @param retryMillis after which time a refused request should be retried; 0 if it is not refused
 */
public record QuotaStatus(int heldCredits, int waitingRequests, boolean ownerReplied, Next next, long retryMillis) {
    /** What would happen to the next request of a workspace. */
    public enum Next {
        /** A credit is held for it. */
        ADMIT,
        /** It would wait for credits of the owner. */
        ASK_OWNER,
        /** The owner does not reply, so the lower rate without an owner decides. */
        FALLBACK,
        /** The owner is known to have no credit yet. */
        REFUSE;

        /** Returns the name for output. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Creates a status. */
    public QuotaStatus {
        Objects.requireNonNull(next, "next");
    }

    /** Returns the status of a workspace that has sent no request to this daemon lately. */
    public static QuotaStatus unused(boolean ownerReplied, boolean failing) {
        return new QuotaStatus(0, 0, ownerReplied && !failing, failing ? Next.FALLBACK : Next.ASK_OWNER, 0);
    }
}
