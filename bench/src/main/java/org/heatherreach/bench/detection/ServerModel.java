package org.heatherreach.bench.detection;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Draws the behaviour of one healthy server: a log-normal latency with a Pareto tail, rare errors, and pauses that delay
 * everything in flight. Confined to one thread.
 */
final class ServerModel {
    private static final double SIGMA = 0.5;
    private static final double TAIL_SHARE = 0.03;
    private static final double TAIL_START = 3;
    private static final double TAIL_EXPONENT = 1.5;
    private static final double TAIL_LIMIT = 100;
    private static final double ERROR_SHARE = 0.002;
    private static final double PAUSE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final double MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final double PAUSE_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final double medianNanos;
    private final RandomGenerator random;
    private long pauseBeginNanos;
    private long pauseNanos;

    ServerModel(long medianNanos, RandomGenerator random, long nowNanos) {
        this.medianNanos = medianNanos;
        this.random = random;
        drawPause(nowNanos);
    }

    /** Returns the mean of the distribution without pauses, for setting the load. */
    static double meanNanos(long medianNanos) {
        double body = Math.exp(SIGMA * SIGMA / 2);
        double tail = TAIL_START * TAIL_EXPONENT / (TAIL_EXPONENT - 1);
        return medianNanos * ((1 - TAIL_SHARE) * body + TAIL_SHARE * tail);
    }

    /** Draws the time that a request takes which begins now on a server that is slower by a factor. */
    long drawNanos(double factor, long nowNanos) {
        double relative;
        if (random.nextDouble() < TAIL_SHARE) {
            double pareto = TAIL_START * Math.pow(1 - random.nextDouble(), -1 / TAIL_EXPONENT);
            relative = Math.min(TAIL_LIMIT, pareto);
        } else {
            relative = Math.exp(SIGMA * random.nextGaussian());
        }
        long nanos = (long) (relative * medianNanos * factor);
        while (nowNanos - (pauseBeginNanos + pauseNanos) >= 0) {
            drawPause(nowNanos);
        }
        if (nowNanos + nanos - pauseBeginNanos > 0) {
            nanos += nowNanos - pauseBeginNanos > 0 ? pauseBeginNanos + pauseNanos - nowNanos : pauseNanos;
        }
        return nanos;
    }

    boolean drawError() {
        return random.nextDouble() < ERROR_SHARE;
    }

    private void drawPause(long nowNanos) {
        pauseBeginNanos = nowNanos + (long) (-Math.log(1 - random.nextDouble()) * PAUSE_INTERVAL_NANOS);
        pauseNanos = (long) (MIN_PAUSE_NANOS + random.nextDouble() * PAUSE_SPREAD_NANOS);
    }
}
