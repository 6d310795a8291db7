package org.heatherreach.transport.metric;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.heatherreach.protocol.http.InvalidStatus;
import org.heatherreach.state.outcome.Outcome;
import org.heatherreach.state.outcome.RefusalReason;
import org.heatherreach.state.outcome.RetryReason;
import org.heatherreach.state.rank.Rank;

/**
 * Meters of the request path. The counters of all reasons are registered on creation, so that a reason that never
 * occurred reads 0.
 * Safe for use by any thread.
 */
public final class RequestMeters {
    private final Map<Rank, Counter> requests = new EnumMap<>(Rank.class);
    private final Map<Outcome, Counter> answers = new EnumMap<>(Outcome.class);
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);
    private final Map<RetryReason, Counter> retries = new EnumMap<>(RetryReason.class);
    private final Map<Rank, Timer> latencies = new EnumMap<>(Rank.class);
    private final Counter retriesWithoutBudget;
    private final Counter callerResets;
    private final Counter callerDisconnects;
    private final Counter refusedConnections;
    private final Counter doubtfulConnections;
    private final Map<InvalidStatus, Counter> invalidStatuses = new EnumMap<>(InvalidStatus.class);
    private final Counter replays;
    private final Timer loopDelays;
    private final AtomicInteger inFlight;
    private final WorkspaceMeters workspaces;

    /** Creates the meters and registers them. */
    public RequestMeters(MeterRegistry registry) {
        Objects.requireNonNull(registry, "registry");
        for (Rank rank : Rank.values()) {
            requests.put(rank, registry.counter("heatherreach.requests", "rank", rank.label()));
            latencies.put(
                    rank,
                    Timer.builder("heatherreach.request.duration")
                            .tag("rank", rank.label())
                            .publishPercentileHistogram()
                            .minimumExpectedValue(Duration.ofMillis(1))
                            .maximumExpectedValue(Duration.ofSeconds(30))
                            .register(registry));
        }
        for (Outcome outcome : Outcome.values()) {
            answers.put(outcome, registry.counter("heatherreach.answers", "outcome", outcome.label()));
        }
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.put(reason, registry.counter("heatherreach.refusals", "reason", reason.label()));
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.put(reason, registry.counter("heatherreach.retries", "reason", reason.label()));
        }
        retriesWithoutBudget = registry.counter("heatherreach.retries.over.budget");
        callerResets = registry.counter("heatherreach.caller.resets");
        callerDisconnects = registry.counter("heatherreach.caller.disconnects");
        refusedConnections = registry.counter("heatherreach.caller.connections.refused");
        for (InvalidStatus reason : InvalidStatus.values()) {
            invalidStatuses.put(
                    reason, registry.counter("heatherreach.backend.invalid.statuses", "reason", reason.label()));
        }
        doubtfulConnections = registry.counter("heatherreach.backend.doubtful.connections");
        replays = registry.counter("heatherreach.replays");
        loopDelays = registry.timer("heatherreach.loop.delay");
        inFlight = registry.gauge("heatherreach.requests.in.flight", new AtomicInteger());
        workspaces = new WorkspaceMeters(registry);
    }

    /** Returns the counters by workspace. */
    public WorkspaceMeters workspaces() {
        return workspaces;
    }

    /** Adds a request to those in flight. */
    public void begin() {
        inFlight.incrementAndGet();
    }

    /** Removes a request from those in flight, whether it succeeded or failed. */
    public void end() {
        inFlight.decrementAndGet();
    }

    /** Returns how many requests are in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Counts a request whose headers were accepted. */
    public void countRequest(Rank rank) {
        requests.get(rank).increment();
    }

    /** Counts an answer and records its latency since the arrival of the request. */
    public void countAnswer(Outcome outcome, Rank rank, long durationNanos) {
        answers.get(outcome).increment();
        latencies.get(rank).record(durationNanos, TimeUnit.NANOSECONDS);
    }

    /** Counts a request that the daemon refused itself. */
    public void countRefusal(RefusalReason reason) {
        refusals.get(reason).increment();
    }

    /** Counts a retry. */
    public void countRetry(RetryReason reason) {
        retries.get(reason).increment();
    }

    /** Counts a safe retry that was not made because the retry budget was exhausted. */
    public void countRetryWithoutBudget() {
        retriesWithoutBudget.increment();
    }

    /** Counts a caller's connection that was reset because its answer could not be completed. */
    public void countCallerReset() {
        callerResets.increment();
    }

    /** Counts a caller that disconnected before its answer was complete. */
    public void countCallerDisconnect() {
        callerDisconnects.increment();
    }

    /** Counts a caller's connection that was closed on arrival because the connection limit was reached. */
    public void countRefusedConnection() {
        refusedConnections.increment();
    }

    /** Counts a connection to a backend server that was closed because its HTTP state was uncertain. */
    public void countDoubtfulConnection() {
        doubtfulConnections.increment();
    }

    /** Counts a message of a backend server that is no response because of its status. */
    public void countInvalidStatus(InvalidStatus reason) {
        invalidStatuses.get(reason).increment();
    }

    /** Counts an answer that was replayed from the record of an execution key. */
    public void countReplay() {
        replays.increment();
    }

    /** Records by how much a periodic check on an event loop for connections ran late. */
    public void recordLoopDelay(long delayNanos) {
        loopDelays.record(delayNanos, TimeUnit.NANOSECONDS);
    }
}
