package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.watch.ReaderAction;
import org.heatherreach.coordination.watch.ReaderPlan;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.FluxSink;
import reactor.core.scheduler.Scheduler;

/**
 * Carries out the decisions of the {@link ReaderPlan}: which source the watch of all keys has, the calls to readers, and
 * whether this daemon serves the keys itself.
 *
 * <p>Invariants: a watch changes its source between two polls only; no timer runs without a watch, nor in a zone without
 * readers; a response that belongs to an earlier watch or call has no effect.
 *
 * <p>Thread safety: safe for use by any thread; one watch at a time. Subscribers are called with a lock and must not
 * block.
 */
final class ReaderFollower {
    private static final Logger LOG = Logger.getLogger(ReaderFollower.class);
    /** Readers confirm more often than a follower's poll ends by itself, which saves the followers a second poll. */
    private static final long READER_POLL_WAIT_MILLIS = 900;
    /** A response without changes and with an older confirmation is not reported as a response of the store. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final KeyValueStore store;
    private final ReaderPlan plan;
    private final ReaderCache cache;
    private final ReaderCalls calls;
    private final Scheduler.Worker worker;
    private final LongSupplier nanoClock;
    private final Counter answeredPolls;
    private final Counter failedPolls;
    private final Object lock = new Object();
    private Map<DaemonId, InetSocketAddress> zone = Map.of();
    private Option<KeyWatch> watch = Option.none();
    /** The newest position of any watch so far; an older full read of a reader is not used. */
    private StoreRevision newestRevision = StoreRevision.NONE;

    private Disposable timer = Disposables.disposed();
    private long timerNanos;

    /**
     * Creates a follower without a watch.
     *
     * @param store the client of the store
     * @param plan decides where the changes come from
     * @param cache receives the changes that this daemon reads from the store
     * @param calls makes the calls to readers
     * @param worker handles the responses of readers and the timer
     * @param meters counts the polls of readers
     * @param nanoClock the monotonic clock
     */
    ReaderFollower(
            KeyValueStore store,
            ReaderPlan plan,
            ReaderCache cache,
            ReaderCalls calls,
            Scheduler.Worker worker,
            MeterRegistry meters,
            LongSupplier nanoClock) {
        this.store = Objects.requireNonNull(store, "store");
        this.plan = Objects.requireNonNull(plan, "plan");
        this.cache = Objects.requireNonNull(cache, "cache");
        this.calls = Objects.requireNonNull(calls, "calls");
        this.worker = Objects.requireNonNull(worker, "worker");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.answeredPolls = meters.counter("heatherreach.reader.polls", "result", "answered");
        this.failedPolls = meters.counter("heatherreach.reader.polls", "result", "failed");
    }

    /** Sets the addresses of the listed daemons of the zone. */
    void replaceZone(Map<DaemonId, InetSocketAddress> daemons) {
        synchronized (lock) {
            zone = daemons;
            ReaderPlan.Role previous = plan.role();
            perform(plan.replaceZone(List.copyOf(daemons.keySet()), nanoClock.getAsLong()));
            setTimer();
            if (plan.role() != previous) {
                LOG.infof("zone-readers=%s role=%s", plan.readers(), plan.role());
            }
        }
    }

    /** Returns whether this daemon serves the keys to the other daemons of its zone. */
    boolean isReader() {
        synchronized (lock) {
            return plan.role() == ReaderPlan.Role.READER;
        }
    }

    /** Returns whether the changes come from a reader. */
    boolean followsReader() {
        synchronized (lock) {
            return plan.source().isDefined();
        }
    }

    /** Returns the address of the reader that the changes come from; empty if they come from the store. */
    Option<InetSocketAddress> readerAddress() {
        synchronized (lock) {
            return plan.source().flatMap(reader -> Option.of(zone.get(reader)));
        }
    }

    /** Returns whether a full read of a reader is confirmed and not older than what was reported. */
    boolean isUsableRead(ReaderAnswer answer) {
        synchronized (lock) {
            boolean confirmed = nanoClock.getAsLong() - answer.confirmationNanos() < plan.confirmationLimitNanos();
            return confirmed && !newestRevision.isAfter(answer.revision());
        }
    }

    /** Takes the changes from the store until the plan turns to a reader again. */
    void abandonReader() {
        synchronized (lock) {
            perform(plan.abandon(nanoClock.getAsLong()));
            setTimer();
        }
    }

    /**
     * Begins a watch of all keys, which ends the one before.
     *
     * @param sink receives the changes
     * @param start the revision of the first change to report
     */
    void watch(FluxSink<Either<KeyValueError, WatchEvent>> sink, StoreRevision start) {
        KeyWatch begun = new KeyWatch(sink, start);
        // Not with the caller's locks, which the holder of the lock of this class may wait for.
        sink.onDispose(() -> worker.schedule(() -> end(begun)));
        synchronized (lock) {
            watch.forEach(KeyWatch::stop);
            watch = Option.some(begun);
            recordPosition(begun);
            perform(plan.begin(nanoClock.getAsLong()));
            setTimer();
            if (plan.role() == ReaderPlan.Role.READER && !cache.isLoaded()) {
                // The keys were read before this daemon became a reader, or from another one.
                begun.requireFullRead();
            }
        }
    }

    private void end(KeyWatch ended) {
        synchronized (lock) {
            ended.stop();
            if (isCurrent(ended)) {
                watch = Option.none();
                setTimer();
            }
        }
    }

    private boolean isCurrent(KeyWatch candidate) {
        return watch.contains(candidate) && !candidate.isCancelled();
    }

    /**
     * Carries out actions. In the middle of a poll of the store, the turn to a reader and what follows it wait until the
     * poll has been reported, because the position of the watch is that of whole polls.
     */
    private void perform(List<ReaderAction> actions) {
        for (int i = 0; i < actions.size(); i++) {
            ReaderAction action = actions.get(i);
            if (action instanceof ReaderAction.UseReader && watch.exists(KeyWatch::isMidPoll)) {
                List<ReaderAction> rest = actions.subList(i, actions.size());
                watch.forEach(current -> current.defer(rest));
                return;
            }
            perform(action);
        }
    }

    private void perform(ReaderAction action) {
        if (action instanceof ReaderAction.Serve) {
            cache.begin();
            store.limitPollWait(READER_POLL_WAIT_MILLIS);
            watch.forEach(KeyWatch::requireFullRead);
        } else if (action instanceof ReaderAction.StopServing) {
            cache.end();
            store.limitPollWait(Long.MAX_VALUE);
        } else if (action instanceof ReaderAction.UseReader use) {
            LOG.infof("zone-reader=%s state=followed", use.reader());
            watch.forEach(KeyWatch::stopStoreWatch);
        } else if (action instanceof ReaderAction.UseStore use) {
            if (use.reason() != ReaderAction.Reason.START) {
                LOG.infof("zone-reader state=given-up reason=%s", use.reason());
            }
            watch.forEach(current -> current.startStoreWatch(
                    store, (subscription, event) -> acceptStoreEvent(current, subscription, event)));
        } else if (action instanceof ReaderAction.Ask ask) {
            watch.forEach(current -> ask(current, ask));
        } else if (action instanceof ReaderAction.Cancel) {
            watch.forEach(KeyWatch::cancelCall);
        }
    }

    private void setTimer() {
        Option<Long> next = watch.isEmpty() ? Option.none() : plan.nextTickNanos(nanoClock.getAsLong());
        if (next.isEmpty()) {
            timer.dispose();
            return;
        }
        if (!timer.isDisposed() && next.get() == timerNanos) {
            return;
        }
        timer.dispose();
        timerNanos = next.get();
        long delayNanos = Math.max(0, timerNanos - nanoClock.getAsLong());
        timer = worker.schedule(this::tick, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        synchronized (lock) {
            timer = Disposables.disposed();
            if (watch.isDefined()) {
                perform(plan.tick(nanoClock.getAsLong()));
            }
            setTimer();
        }
    }

    private void acceptStoreEvent(KeyWatch target, Disposable subscription, Either<KeyValueError, WatchEvent> event) {
        synchronized (lock) {
            if (!isCurrent(target) || !target.isInUse(subscription)) {
                return;
            }
            cache.apply(event);
            target.reportStoreEvent(event);
            recordPosition(target);
            List<ReaderAction> due = target.takeDue();
            if (!due.isEmpty()) {
                perform(due);
                setTimer();
            }
        }
    }

    private void ask(KeyWatch target, ReaderAction.Ask ask) {
        InetSocketAddress reader = zone.get(ask.reader());
        if (reader == null) {
            worker.schedule(() -> acceptFailure(target, ask, "not listed"));
            return;
        }
        String path = ReaderPaths.poll(new ReaderPaths.Poll(target.position(), ask.waitMillis()));
        target.setCall(calls.call(reader, path, new ReaderCalls.Listener() {
            @Override
            public void completed(ReaderAnswer answer) {
                worker.schedule(() -> acceptAnswer(target, ask, answer));
            }

            @Override
            public void failed(String reason) {
                worker.schedule(() -> acceptFailure(target, ask, reason));
            }
        }));
    }

    private void acceptFailure(KeyWatch target, ReaderAction.Ask ask, String reason) {
        synchronized (lock) {
            if (!isCurrent(target) || !plan.isCurrent(ask.number())) {
                return;
            }
            failedPolls.increment();
            LOG.infof("zone-reader=%s state=failed reason=\"%s\"", ask.reader(), reason);
            perform(plan.recordFailure(ask.number(), nanoClock.getAsLong()));
            setTimer();
        }
    }

    private void acceptAnswer(KeyWatch target, ReaderAction.Ask ask, ReaderAnswer answer) {
        synchronized (lock) {
            if (!isCurrent(target) || !plan.isCurrent(ask.number())) {
                return;
            }
            if (answer.storeFailing()) {
                acceptFailure(target, ask, "the store fails");
            } else if (target.position().isOfLaterEraThan(answer.revision())) {
                acceptFailure(target, ask, "an earlier era of the store");
            } else {
                accept(target, ask, answer);
            }
        }
    }

    /**
     * Accepts a usable response. While the store is watched, the response is that of a trial and only shows that the
     * reader can be followed: its changes come with the next poll, which begins at the position of this watch.
     */
    private void accept(KeyWatch target, ReaderAction.Ask ask, ReaderAnswer answer) {
        answeredPolls.increment();
        boolean watchesStore = target.watchesStore();
        boolean needsFullRead =
                !watchesStore && (answer.readAll() || answer.revision().isOfLaterEraThan(target.position()));
        if (!watchesStore && !needsFullRead) {
            target.reportAnswer(answer, nanoClock.getAsLong() - answer.confirmationNanos() < FRESH_NANOS);
            recordPosition(target);
        }
        perform(plan.recordResponse(ask.number(), answer.confirmationNanos(), needsFullRead, nanoClock.getAsLong()));
        setTimer();
        if (needsFullRead) {
            target.requireFullRead();
        }
    }

    private void recordPosition(KeyWatch target) {
        newestRevision = target.position().isAfter(newestRevision) ? target.position() : newestRevision;
    }
}
