package org.heatherreach.coordination.work;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The work that is left at one start of a server, and its slowness: the factor by which its requests take longer than
 * their work.
 *
 * <p>The slowness is the posterior mean of the logarithm of that factor, with a prior around 1: a request whose work is
 * well known moves it further than one whose work varies much. The evidence decays, so that a server that is avoided as
 * slow is tried again.
 *
 * <p>Confined to one duty thread.
 */
public final class ServerWork {
    /** The precision of the prior: the logarithms of the slowness of healthy servers differ by about 0.5. */
    private static final double PRIOR_PRECISION = 4;
    /** The least deviation of a request from its estimate that is taken as chance. */
    private static final double MIN_LOG_DEVIATION = 0.3;

    /** One observation counts for at most this factor, as one request in a hundred takes several times as long. */
    private static final double MAX_LOG_RATIO = Math.log(6);

    private static final double MAX_LOG_SLOWNESS = Math.log(8);
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final List<RunningWork> running = new ArrayList<>(4);
    private double evidence;
    private double precision;
    private long evidenceUpdateNanos;
    private PeerWork peers = PeerWork.NONE;
    private double cachedSlowness = 1;
    private double cachedOwnNanos;
    private double cachedOwnLoadNanos;
    private long cachedAtNanos;
    private boolean cached;

    /** Records that a request was sent to the server. */
    public RunningWork begin(WorkEstimate estimate, long nowNanos) {
        RunningWork work = new RunningWork(estimate, nowNanos);
        running.add(work);
        cached = false;
        return work;
    }

    /** Records that a request is no longer at the server. */
    public void end(RunningWork work) {
        running.remove(work);
        cached = false;
    }

    /** Records how long a completed request took compared with its estimate. */
    public void recordCompleted(WorkEstimate estimate, double tookNanos, long nowNanos) {
        observe(estimate, Math.log(Math.max(1, tookNanos)) - estimate.logMean(), nowNanos);
    }

    /** Records that a request was given up after some time; it shows only how long it takes at least. */
    public void recordAbandoned(WorkEstimate estimate, double waitedNanos, long nowNanos) {
        double ratioLog = Math.log(Math.max(1, waitedNanos)) - estimate.logMean();
        if (ratioLog > Math.log(slowness(nowNanos))) {
            observe(estimate, ratioLog, nowNanos);
        }
    }

    private void observe(WorkEstimate estimate, double ratioLog, long nowNanos) {
        if (!estimate.isKnown()) {
            // The ratio to an assumed mean says nothing of the server, and the work learned would be divided by it.
            return;
        }
        double deviation = Math.max(MIN_LOG_DEVIATION, estimate.logDeviation());
        double kept = keptShare(nowNanos);
        double weight = 1 / (deviation * deviation);
        double limited = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratioLog));
        evidence = evidence * kept + weight * limited;
        precision = precision * kept + weight;
        evidenceUpdateNanos = nowNanos;
        cached = false;
    }

    /** Sets the work that peers have left at the server. */
    public void notePeerWork(PeerWork work) {
        peers = work;
    }

    /** Returns the factor by which requests take longer at this server; 1 if nothing is known. */
    public double slowness(long nowNanos) {
        refresh(nowNanos);
        return cachedSlowness;
    }

    /** Returns the time that the server is expected to need for the requests of this daemon that are left. */
    public double ownLeftNanos(long nowNanos) {
        refresh(nowNanos);
        return cachedOwnNanos;
    }

    /**
     * Returns the load by the requests of this daemon: the time left of each, but at most the mean work of the service,
     * because a request occupies one slot however long it runs, and the other slots stay free.
     */
    public double ownLoadNanos(long nowNanos) {
        refresh(nowNanos);
        return cachedOwnLoadNanos;
    }

    /**
     * Returns the time that the server is expected to need for the requests of peers.
     *
     * @param requests the number of requests of peers
     * @param meanNanos the work of those requests for which no peer reported any
     */
    public double peerLeftNanos(int requests, double meanNanos) {
        int reported = Math.min(requests, peers.requests());
        return reported == 0
                ? requests * meanNanos
                : peers.leftNanos() * reported / peers.requests() + (requests - reported) * meanNanos;
    }

    private void refresh(long nowNanos) {
        if (cached && cachedAtNanos == nowNanos) {
            return;
        }
        cachedSlowness = 1;
        if (precision > 0) {
            double kept = keptShare(nowNanos);
            double log = evidence * kept / (PRIOR_PRECISION + precision * kept);
            cachedSlowness = Math.exp(Math.max(-MAX_LOG_SLOWNESS, Math.min(MAX_LOG_SLOWNESS, log)));
        }
        cachedOwnNanos = 0;
        cachedOwnLoadNanos = 0;
        for (int i = 0; i < running.size(); i++) {
            RunningWork work = running.get(i);
            double doneNanos = (nowNanos - work.beginNanos()) / cachedSlowness;
            double leftNanos = work.estimate().remainingNanos(doneNanos) * cachedSlowness;
            cachedOwnNanos += leftNanos;
            cachedOwnLoadNanos += Math.min(leftNanos, work.estimate().serviceMeanNanos());
        }
        cachedAtNanos = nowNanos;
        cached = true;
    }

    private double keptShare(long nowNanos) {
        return Math.pow(0.5, (nowNanos - evidenceUpdateNanos) / HALF_LIFE_NANOS);
    }
}
