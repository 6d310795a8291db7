package org.heatherreach.coordination.balance;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.coordination.work.ServerWork;
import org.heatherreach.state.id.ServerId;

/**
 * The load and the recent failures of one incarnation of a server. Confined to one duty thread.
 *
 * <p>Powers are computed by {@link StrictMath}, so that the same events lead to the same decisions on every processor.
 *
 * <p>Works like a circuit breaker: after a failure the server is avoided until a deadline and then half-open, when it
 * gets one request at a time, preferably an idempotent one ({@link FailureMeasure}). The first success ends this state and halves the suspicion.
 */
final class ServerLoad {
    /**
     * How long a server that shed a request counts as full; it usually frees a slot within the time of a short request.
     */
    private static final long FULL_AFTER_SHED_MILLIS = 150;

    private static final LongHashFunction HASH = LongHashFunction.xx3();
    /** How long a path failure that one peer observed is counted together with those of other peers. */
    private static final long PATH_FAILURE_VALID_MILLIS = 2000;
    /** The number of peers that must observe a path failure; a partial partition usually cuts off fewer peers. */
    private static final int MIN_PATH_OBSERVERS = 3;

    /** How long a server is avoided at a suspicion of 1, which is one error; the time grows with the suspicion. */
    private static final double BASE_AVOID_MILLIS = 800;

    /**
     * The largest random addition to the time for which a server is avoided. It is long compared with the time in which
     * the result of the first trial request reaches the peers.
     */
    private static final double MAX_AVOID_JITTER_MILLIS = 200;

    /** Short enough that a server is tried again some seconds after it has stopped shedding. */
    private static final double SHEDDING_HALF_LIFE_NANOS = 1.5e9;

    private static final double SHEDDING_PRIOR_ANSWERS = 2;
    /** Long enough to collect several errors of a server that is tested about once in two seconds. */
    private static final double ERROR_HALF_LIFE_NANOS = 10e9;
    /** With fewer, a server that failed once by itself would go without requests. */
    private static final double ERROR_PRIOR_ANSWERS = 4;

    /**
     * How long a server that may be tested again, or had no request, is left to idempotent requests. With the time for which it was avoided
     * after one failure, a server that failed by itself is used again within 2.5 s.
     */
    private static final long IDEMPOTENT_TRIAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /**
     * The range of the random time after which a daemon lets any request test a server, for each daemon of its zone: a
     * zone then tests a server about once in this time, however many daemons it has, and a server that still fails costs
     * one request and not one for each daemon.
     */
    private static final long TRIAL_RANGE_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** More recent errors than this are no accident of a server that works. */
    private static final double SINGLE_ERROR = 1.2;
    /** A server that fails every sixth request is tested a third as often as one that does not fail. */
    private static final double ERROR_TRIAL_FACTOR = 12;
    /** Bounds the time until a server that works again after many errors is found. */
    private static final double MAX_TRIAL_FACTOR = 3;

    private static final double AVOID_EXPONENT = 1.5;
    private static final double MAX_AVOID_MILLIS = 4000;
    /**
     * How long an answer counts as recent; a server that fails after its last answer goes undetected for about as long.
     */
    private static final long RECENT_ANSWER_NANOS = 700_000_000L;

    /**
     * How long a server is avoided because a peer reported that it is leaving. By then the store shows it as leaving,
     * or the report was wrong.
     */
    private static final long LEAVING_HINT_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final double SUSPICION_HALF_LIFE_NANOS = 2e9;
    /** The factor by which a success reduces the suspicion. */
    private static final double SUCCESS_SUSPICION_FACTOR = 0.5;

    private final Map<Long, Long> pathFailureDeadlinesByPeer = new HashMap<>();
    private final ServerWork work = new ServerWork();
    private final int hash;
    private PoolServer server;
    private long lastAnswerNanos;
    private int inFlight;
    private double suspicion;
    private long suspicionUpdateNanos;
    private boolean suspected;
    private long avoidDeadlineNanos;
    private long fullDeadlineNanos;
    private int peerInFlight;
    private long peerLoadDeadlineNanos;
    private int ownSlots;
    private int zoneDaemons = 1;
    private FailureMeasure failureMeasure = FailureMeasure.RECENT_FAILURES;
    private long trialDeadlineNanos;
    private long quietDeadlineNanos;
    private long leavingHintDeadlineNanos;
    private final RateEvidence shedding;
    private final RateEvidence errors;

    ServerLoad(PoolServer server, long nowNanos) {
        this.server = server;
        this.quietDeadlineNanos = nowNanos;
        this.leavingHintDeadlineNanos = nowNanos;
        this.hash = hashOf(server.id());
        this.lastAnswerNanos = nowNanos - RECENT_ANSWER_NANOS;
        this.suspicionUpdateNanos = nowNanos;
        this.avoidDeadlineNanos = nowNanos;
        this.trialDeadlineNanos = nowNanos;
        this.fullDeadlineNanos = nowNanos;
        this.peerLoadDeadlineNanos = nowNanos;
        this.shedding = new RateEvidence(SHEDDING_HALF_LIFE_NANOS, SHEDDING_PRIOR_ANSWERS, nowNanos);
        this.errors = new RateEvidence(ERROR_HALF_LIFE_NANOS, ERROR_PRIOR_ANSWERS, nowNanos);
    }

    /**
     * Returns the hash that identifies a server in the messages between daemons. A rare collision only distorts the
     * load of a server.
     */
    static int hashOf(ServerId server) {
        return (int) HASH.hashChars(server.value());
    }

    int hash() {
        return hash;
    }

    PoolServer server() {
        return server;
    }

    /** Replaces the description of the server by a newer one of the same incarnation. */
    void updateDescription(PoolServer newer) {
        server = newer;
    }

    /** Sets how many of the server's slots are this daemon's share. */
    void setOwnSlots(int slots) {
        ownSlots = slots;
    }

    /** Sets how many daemons the zone of this daemon has, itself included, and how failures count. */
    void setZone(int daemons, FailureMeasure failures) {
        zoneDaemons = Math.max(1, daemons);
        failureMeasure = failures;
    }

    /** Returns the estimated probability that the server fails a request; 0 if that is not learned. */
    double errorProbability(long nowNanos) {
        return errors.probability(nowNanos);
    }

    /** Returns whether this daemon's share of the slots has room. */
    boolean hasOwnSlotFree() {
        return inFlight < ownSlots;
    }

    /** Returns the work that is left at the server; maintained only if loads are measured by it. */
    ServerWork work() {
        return work;
    }

    /**
     * Returns the time that the server is expected to need for the requests of this daemon and of the peers.
     *
     * @param meanNanos the work of those requests of peers whose work was not reported
     */
    double workLeftNanos(double meanNanos, long nowNanos) {
        int ofPeers = knownInFlight(nowNanos) - inFlight;
        return work.ownLeftNanos(nowNanos) + work.peerLeftNanos(ofPeers, meanNanos);
    }

    /**
     * Returns the load in the time that the slots are taken within the near future, in which each request counts for the
     * mean work at most.
     *
     * @param meanNanos the mean work of the requests of the service
     */
    double workLoadNanos(double meanNanos, long nowNanos) {
        int ofPeers = knownInFlight(nowNanos) - inFlight;
        return work.ownLoadNanos(nowNanos) + Math.min(ofPeers * meanNanos, work.peerLeftNanos(ofPeers, meanNanos));
    }

    int inFlight() {
        return inFlight;
    }

    void beginRequest() {
        inFlight++;
    }

    void endRequest() {
        inFlight--;
    }

    /** Sets the number of requests that the peers have in flight at the server, which counts until the given time. */
    void notePeerLoad(int requests, long validUntilNanos) {
        peerInFlight = requests;
        peerLoadDeadlineNanos = validUntilNanos;
    }

    /** Returns the requests in flight from this daemon and from the peers whose reports are still valid. */
    int knownInFlight(long nowNanos) {
        return inFlight + (peerLoadDeadlineNanos - nowNanos > 0 ? peerInFlight : 0);
    }

    /**
     * Records the result of a request.
     *
     * @param jitterFraction a number from 0 to 1 that differs between daemons, so that they do not all retry a server
     *     at the same time
     */
    void noteResult(PoolResult result, double jitterFraction, long nowNanos) {
        if (result == PoolResult.SUCCESS) {
            noteAnswer(nowNanos);
            suspicion = suspicion(nowNanos) * SUCCESS_SUSPICION_FACTOR;
            suspicionUpdateNanos = nowNanos;
            suspected = false;
        } else if (result == PoolResult.SHED) {
            fullDeadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(FULL_AFTER_SHED_MILLIS);
        } else if (result.isFailure()) {
            suspicion = suspicion(nowNanos) + result.weight();
            suspicionUpdateNanos = nowNanos;
            suspected = true;
            if (failureMeasure == FailureMeasure.ERROR_RATE && !result.mayBePathFailure()) {
                errors.recordEvent(nowNanos);
            }
            double avoidMillis =
                    Math.min(MAX_AVOID_MILLIS, BASE_AVOID_MILLIS * StrictMath.pow(suspicion, AVOID_EXPONENT));
            long deadlineNanos = nowNanos
                    + TimeUnit.MILLISECONDS.toNanos((long) (avoidMillis + jitterFraction * MAX_AVOID_JITTER_MILLIS));
            if (deadlineNanos - avoidDeadlineNanos > 0) {
                avoidDeadlineNanos = deadlineNanos;
            }
            trialDeadlineNanos = avoidDeadlineNanos + trialDelayNanos(jitterFraction, nowNanos);
        }
    }

    /**
     * Records a result that a peer observed. A failure that may be caused by a network path counts only once several
     * peers have observed it.
     */
    void notePeerResult(long peer, PoolResult result, double jitterFraction, long nowNanos) {
        if (result == PoolResult.LEAVING) {
            leavingHintDeadlineNanos = nowNanos + LEAVING_HINT_NANOS;
            return;
        }
        if (!result.mayBePathFailure()) {
            noteResult(result, jitterFraction, nowNanos);
            return;
        }
        pathFailureDeadlinesByPeer.values().removeIf(deadline -> deadline - nowNanos <= 0);
        pathFailureDeadlinesByPeer.put(peer, nowNanos + TimeUnit.MILLISECONDS.toNanos(PATH_FAILURE_VALID_MILLIS));
        if (pathFailureDeadlinesByPeer.size() >= MIN_PATH_OBSERVERS) {
            pathFailureDeadlinesByPeer.clear();
            noteResult(result, jitterFraction, nowNanos);
        }
    }

    /** Records that the server answered a request of this daemon or of a peer. */
    void noteAnswer(long nowNanos) {
        lastAnswerNanos = nowNanos;
        shedding.recordAnswer(nowNanos);
        if (failureMeasure == FailureMeasure.ERROR_RATE) {
            errors.recordAnswer(nowNanos);
        }
    }

    /**
     * Records that the server turned a request of this daemon or of a peer away although it should have had room. A full
     * server does so as well, but for a moment only.
     */
    void noteRejection(long nowNanos) {
        shedding.recordEvent(nowNanos);
    }

    /** Returns the estimated probability that the server turns a request away although it has room. */
    double sheddingProbability(long nowNanos) {
        return shedding.probability(nowNanos);
    }

    /** Returns whether the server has answered recently enough to be regarded as working. */
    boolean hasRecentAnswer(long nowNanos) {
        return nowNanos - lastAnswerNanos < RECENT_ANSWER_NANOS;
    }

    /** Sets until when the server asked this daemon to send it no requests. */
    void noteQuietUntil(long deadlineNanos) {
        quietDeadlineNanos = deadlineNanos;
    }

    /** Returns whether the server has asked this daemon to send it no requests at present. */
    boolean isQuiet(long nowNanos) {
        return quietDeadlineNanos - nowNanos > 0;
    }

    /** Returns until when the server asked this daemon to send it no requests; a time in the past if it did not. */
    long quietDeadlineNanos() {
        return quietDeadlineNanos;
    }

    /** Returns whether a peer has reported recently that the server is about to stop. */
    boolean isLeavingByHint(long nowNanos) {
        return leavingHintDeadlineNanos - nowNanos > 0;
    }

    /** Returns whether the server has failed and no success has ended the suspicion. */
    boolean isSuspected() {
        return suspected;
    }

    /** Returns whether the server has failed and is not to be tried again yet. */
    boolean isAvoided(long nowNanos) {
        return suspected && avoidDeadlineNanos - nowNanos > 0;
    }

    /** Returns whether the server has failed and a trial request may test whether it works again. */
    boolean isHalfOpen(long nowNanos) {
        return suspected && avoidDeadlineNanos - nowNanos <= 0;
    }

    /**
     * Returns whether the server has gone without a request for long enough: a half-open one waited for an idempotent
     * request, or no answer of another one is known.
     */
    boolean isTrialDue(long nowNanos) {
        if (suspected) {
            return isHalfOpen(nowNanos) && trialDeadlineNanos - nowNanos <= 0;
        }
        long unusedNanos = nowNanos - lastAnswerNanos;
        return unusedNanos >= IDEMPOTENT_TRIAL_NANOS
                && unusedNanos >= trialDelayNanos(fractionOf(lastAnswerNanos), nowNanos);
    }

    /** Returns how long idempotent requests alone may test the server; longer if it fails often. */
    private long trialDelayNanos(double fraction, long nowNanos) {
        double delayNanos = IDEMPOTENT_TRIAL_NANOS + fraction * TRIAL_RANGE_NANOS * zoneDaemons;
        boolean failsOften = errors.recentEvents(nowNanos) > SINGLE_ERROR;
        return (long)
                (failsOften
                        ? delayNanos * Math.min(MAX_TRIAL_FACTOR, 1 + ERROR_TRIAL_FACTOR * errorProbability(nowNanos))
                        : delayNanos);
    }

    /** Returns a number from 0 to 1 that is the same for the same time and otherwise as good as random. */
    private static double fractionOf(long nanos) {
        return (HASH.hashLong(nanos) >>> 11) * 0x1.0p-53;
    }

    /** Returns the weight of the recent failures, which decays exponentially with time. */
    double suspicion(long nowNanos) {
        if (suspicion == 0) {
            // Most servers never failed, and this is asked for each server and choice.
            return 0;
        }
        return suspicion * StrictMath.pow(0.5, (nowNanos - suspicionUpdateNanos) / SUSPICION_HALF_LIFE_NANOS);
    }

    /** Returns whether the server can take no request at present, because it is full or has asked for quiet. */
    boolean isFull(long nowNanos) {
        if (isQuiet(nowNanos)) {
            return true;
        }
        if (fullDeadlineNanos - nowNanos > 0) {
            return true;
        }
        if (isHalfOpen(nowNanos)) {
            // A single trial request tests whether a suspected server works again.
            return knownInFlight(nowNanos) > 0;
        }
        // The share is used although peers may have filled the server, since their reports may be old.
        return !hasOwnSlotFree() && knownInFlight(nowNanos) >= server.slots();
    }

    boolean isWarm(long nowNanos) {
        return server.warmUntilNanos() - nowNanos <= 0;
    }
}
