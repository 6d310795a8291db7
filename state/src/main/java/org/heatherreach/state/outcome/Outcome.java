package org.heatherreach.state.outcome;

/** What is known about the execution of a request. Immutable and safe for use by any thread. */
public enum Outcome {
    /** The answer comes from the backend server. */
    BACKEND("backend"),
    /** The request did not run and will not run. */
    NOT_RUN("not-run"),
    /** The request may have run. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /** Returns the value of the outcome header. */
    public String label() {
        return label;
    }
}
