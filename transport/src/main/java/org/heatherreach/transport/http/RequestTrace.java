package org.heatherreach.transport.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import org.heatherreach.coordination.balance.ChoiceBasis;

/**
 * Collects the history entry of one request and adds it to the history when the request ends on the caller's side.
 * Exchanges with servers end on the event loops of their connections, so the trace is safe for use by any thread.
 */
final class RequestTrace {
    private final RequestHistory history;
    private final CallerRequest request;
    private final List<ServerAttempt> attempts = new ArrayList<>(1);
    private String outcome = "";
    private String reason = "";

    RequestTrace(RequestHistory history, CallerRequest request) {
        this.history = Objects.requireNonNull(history, "history");
        this.request = Objects.requireNonNull(request, "request");
    }

    /** Records the start of an exchange and returns its number. */
    synchronized int beginAttempt(String server, Option<ChoiceBasis> basis, long nowNanos) {
        attempts.add(new ServerAttempt(server, basis, nowNanos - request.arrivalNanos(), Option.none()));
        return attempts.size() - 1;
    }

    /** Records the result of an exchange. */
    synchronized void completeAttempt(int number, ExchangeResult result) {
        ServerAttempt begun = attempts.get(number);
        attempts.set(number, new ServerAttempt(begun.server(), begun.basis(), begun.waitNanos(), Option.some(result)));
    }

    /** Records the outcome and the reason that are sent to the caller. */
    synchronized void recordOutcome(String outcomeLabel, String reasonLabel) {
        outcome = outcomeLabel == null ? "" : outcomeLabel;
        reason = reasonLabel == null ? "" : reasonLabel;
    }

    /** Adds the request to the history. */
    synchronized void endRequest(RequestEnding ending, long nowNanos) {
        long durationNanos = nowNanos - request.arrivalNanos();
        history.add(new EndedRequest(
                request.requestId(),
                request.service().value(),
                request.parameters().rank().label(),
                request.parameters().workspace().map(id -> id.value()).getOrElse(""),
                request.tableVersion(),
                System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(durationNanos),
                durationNanos,
                ending,
                outcome,
                reason,
                attempts));
    }
}
