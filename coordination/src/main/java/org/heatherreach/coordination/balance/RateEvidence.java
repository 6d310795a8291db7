package org.heatherreach.coordination.balance;

/**
 * How often one kind of result comes from a server, such as a rejection or an error, from what this daemon and its peers
 * saw lately.
 *
 * <p>Invariant: without evidence of the last few half-lives the probability is close to 0.
 *
 * <p>Confined to one duty thread.
 */
final class RateEvidence {
    private final double halfLifeNanos;
    private final double priorAnswers;

    /** The events and answers up to the time of the last one, each weighted by its age. */
    private double events;

    private double answers;
    private long updateNanos;

    /**
     * Creates evidence without any event.
     *
     * @param halfLifeNanos the age at which an event counts half
     * @param priorAnswers how many answers are assumed before any are seen, so that a single event is weak evidence
     */
    RateEvidence(double halfLifeNanos, double priorAnswers, long nowNanos) {
        this.halfLifeNanos = halfLifeNanos;
        this.priorAnswers = priorAnswers;
        this.updateNanos = nowNanos;
    }

    /** Records an event. */
    void recordEvent(long nowNanos) {
        decay(nowNanos);
        events++;
    }

    /** Records an answer without the event. */
    void recordAnswer(long nowNanos) {
        decay(nowNanos);
        answers++;
    }

    /** Returns the estimated probability of the event for the next request. */
    double probability(long nowNanos) {
        if (events == 0) {
            // Most servers have no such event, and this is asked for each server and choice.
            return 0;
        }
        double remaining = remainingShare(nowNanos);
        return events * remaining / (events * remaining + answers * remaining + priorAnswers);
    }

    /** Returns the number of events, each weighted by its age. */
    double recentEvents(long nowNanos) {
        return events == 0 ? 0 : events * remainingShare(nowNanos);
    }

    private void decay(long nowNanos) {
        double remaining = remainingShare(nowNanos);
        events *= remaining;
        answers *= remaining;
        updateNanos += elapsedNanos(nowNanos);
    }

    private double remainingShare(long nowNanos) {
        return StrictMath.pow(0.5, elapsedNanos(nowNanos) / halfLifeNanos);
    }

    /** Returns the time since the last event; 0 if that was recorded with a later time. */
    private long elapsedNanos(long nowNanos) {
        return Math.max(0, nowNanos - updateNanos);
    }
}
