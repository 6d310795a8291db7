package org.heatherreach.transport.http;

import java.util.Objects;

import org.heatherreach.state.outcome.RefusalReason;

/** The decision of a {@link WorkspaceAdmission}. Implementations are immutable. */
public sealed interface AdmissionDecision {
    /** The request may be sent to a server. */
    record Admit() implements AdmissionDecision {}

    /**
     * The request is refused.
     *
     * @param reason why
     * @param retryAfterMillis after how many milliseconds a credit is expected; 0 if unknown
     */
    record Refuse(RefusalReason reason, long retryAfterMillis) implements AdmissionDecision {
        /** Creates a refusal. */
        public Refuse {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
