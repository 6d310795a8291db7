package org.heatherreach.bench.trial;

/**
 * How one request of a trial ended. Immutable and safe for use by any thread.
 *
 * @param kind the kind of end
 * @param reason the reason header of a refusal, or what was wrong
 * @param latencyNanos the time that the caller waited
 */
public record TrialAnswer(Kind kind, String reason, long latencyNanos) {
    /** How a request of a trial can end. */
    public enum Kind {
        /** The backend's answer, complete and to this request. */
        RIGHT,
        /** An answer that is cut or belongs to another request; it must never happen. */
        WRONG,
        /** An error of the backend server, relayed as it is. */
        BACKEND_ERROR,
        /** Refused as not run. */
        NOT_RUN,
        /** Answered as unknown. */
        UNKNOWN,
        /** The connection broke. */
        BROKEN
    }
}
