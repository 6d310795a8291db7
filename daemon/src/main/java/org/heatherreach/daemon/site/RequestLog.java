package org.heatherreach.daemon.site;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.heatherreach.coordination.balance.ChoiceBasis;
import org.heatherreach.coordination.balance.DispatchOrder;
import org.heatherreach.coordination.balance.WorkBasis;
import org.heatherreach.transport.http.EndedRequest;
import org.heatherreach.transport.http.FailureKind;
import org.heatherreach.transport.http.ServerAttempt;
import org.jboss.logging.Logger;

/**
 * Writes one log line for each completed request, with each attempted server and the result of the attempt.
 *
 * <p>Invariant: at most {@link #MAX_LINES_PER_SECOND} request lines are written in each window of one second; the
 * number of dropped lines is logged when a later window begins.
 *
 * <p>Thread safety: safe for use by any thread; it never blocks, since a separate thread writes the log lines.
 */
final class RequestLog implements Consumer<EndedRequest> {
    /** Leaves room for every request at the target rate of 136 requests/s per daemon. */
    static final int MAX_LINES_PER_SECOND = 200;

    private static final Logger LOG = Logger.getLogger(RequestLog.class);
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final LongConsumer dropCounter;
    private long windowDeadlineNanos = System.nanoTime();
    private int linesInWindow;
    private long dropped;

    /**
     * Creates a log.
     *
     * @param dropCounter counts dropped lines
     */
    RequestLog(LongConsumer dropCounter) {
        this.dropCounter = dropCounter;
    }

    @Override
    public void accept(EndedRequest request) {
        if (tryAcquireLine(System.nanoTime())) {
            LOG.info(describe(request));
        }
    }

    private synchronized boolean tryAcquireLine(long nowNanos) {
        if (nowNanos - windowDeadlineNanos >= 0) {
            windowDeadlineNanos = nowNanos + WINDOW_NANOS;
            linesInWindow = 0;
            if (dropped > 0) {
                LOG.infof("log-lines-dropped=%d", dropped);
                dropped = 0;
            }
        }
        if (linesInWindow >= MAX_LINES_PER_SECOND) {
            dropped++;
            dropCounter.accept(1);
            return false;
        }
        linesInWindow++;
        return true;
    }

    static String describe(EndedRequest request) {
        StringBuilder line = new StringBuilder("request=")
                .append(request.request())
                .append(" service=")
                .append(request.service())
                .append(" rank=")
                .append(request.rank())
                .append(request.workspace().isEmpty() ? "" : " workspace=" + request.workspace())
                .append(" ending=")
                .append(request.ending().label())
                .append(" outcome=")
                .append(request.outcome());
        if (!request.reason().isEmpty()) {
            line.append(" reason=").append(request.reason());
        }
        line.append(" took-ms=").append(TimeUnit.NANOSECONDS.toMillis(request.durationNanos()));
        if (request.tableVersion() != 0) {
            line.append(" table=").append(request.tableVersion());
        }
        for (ServerAttempt attempt : request.attempts()) {
            line.append(" server=").append(attempt.server());
            attempt.basis()
                    .forEach(basis -> line.append(" in-flight=")
                            .append(basis.inFlight())
                            .append('/')
                            .append(basis.slots())
                            .append(" suspicion=")
                            .append(round(basis.suspicion())));
            attempt.basis()
                    .map(ChoiceBasis::order)
                    .filter(order -> order != DispatchOrder.USUAL)
                    .forEach(order -> line.append(" order=").append(order.label()));
            attempt.basis().flatMap(ChoiceBasis::work).forEach(work -> appendWork(line, work, attempt));
            line.append(" sent-at-ms=")
                    .append(TimeUnit.NANOSECONDS.toMillis(attempt.waitNanos()))
                    .append(" result=")
                    .append(attempt.result()
                            .map(result -> result.failure().label() + '/'
                                    + TimeUnit.NANOSECONDS.toMillis(result.latencyNanos()) + "ms")
                            .getOrElse("open"));
        }
        return line.toString();
    }

    private static void appendWork(StringBuilder line, WorkBasis work, ServerAttempt attempt) {
        line.append(" expected-ms=")
                .append(TimeUnit.NANOSECONDS.toMillis(work.expectedNanos()))
                .append(" work-left-ms=")
                .append(TimeUnit.NANOSECONDS.toMillis(work.leftNanos()))
                .append(" slowness=")
                .append(round(work.slowness()));
        attempt.result()
                .filter(result -> result.failure() == FailureKind.NONE)
                .forEach(result -> line.append(" took-to-expected=")
                        .append(round((double) result.latencyNanos() / Math.max(1, work.expectedNanos()))));
    }

    private static double round(double value) {
        return Math.round(value * 100) / 100.0;
    }
}
