package org.heatherreach.bench.detection;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** What goes wrong in a trial. Immutable and safe for use by any thread. */
enum Fault {
    /** Nothing. */
    NONE,
    /** One server answers ten times slower. */
    SLOW,
    /** One server fails three requests in ten. */
    ERRORS,
    /** One server truncates half of its responses. */
    TRUNCATING,
    /** One server stops answering, before the head or in the body. */
    STALLING,
    /** One server can't be reached from the first zone. */
    ONE_ZONE,
    /** One server alternates between ten times slower and healthy each 10 s. */
    FLAPPING,
    /** Every server gets ten times slower. */
    WHOLE_SLOW,
    /** Half of the exchanges of one daemon fail. */
    FAULTY_DAEMON,
    /** New servers join, eight times slower at first and normal after 10 s. */
    COLD_START;

    private static final double SLOW_FACTOR = 10;
    private static final double COLD_FACTOR = 8;
    private static final long COLD_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long FLAP_NANOS = TimeUnit.SECONDS.toNanos(10);

    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns whether the faulty server is to be ejected. */
    boolean hasFaultyServer() {
        return ordinal() >= SLOW.ordinal() && ordinal() <= FLAPPING.ordinal();
    }

    boolean isBad(long sinceOnsetNanos) {
        return sinceOnsetNanos >= 0 && (this != FLAPPING || sinceOnsetNanos / FLAP_NANOS % 2 == 0);
    }

    double slowFactor(boolean faultyServer, boolean newServer, long sinceOnsetNanos) {
        if (!isBad(sinceOnsetNanos)) {
            return 1;
        }
        return switch (this) {
            case SLOW, FLAPPING -> faultyServer ? SLOW_FACTOR : 1;
            case WHOLE_SLOW -> SLOW_FACTOR;
            case COLD_START ->
                newServer ? 1 + (COLD_FACTOR - 1) * Math.max(0, 1 - sinceOnsetNanos / (double) COLD_NANOS) : 1;
            default -> 1;
        };
    }
}
