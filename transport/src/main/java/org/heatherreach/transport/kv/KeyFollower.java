package org.heatherreach.transport.kv;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.KeyValue;
import org.heatherreach.protocol.kv.RangeResult;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.state.store.StoreRevision;
import org.jboss.logging.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Reports the keys of a range and their changes to a listener. A round reads all keys once, then watches them. The next
 * round begins when the store has compacted changes that the watch has not reported or is in a later era, after a failure, when the
 * store client reports nothing for too long, and some time after the listener failed to apply a change.
 *
 * <p>Invariants: the listener is called sequentially and with events of the present round only. All events of a round
 * belong to the era of its read, and no round has an earlier era than the one before. Until the follower is
 * closed, another round follows whatever ends the present one, including an {@link Error} in the store client, which
 * Reactor does not report to its subscriber.
 *
 * <p>Thread safety: {@link #start} is called once; {@link #close} may be called by any thread. The listener is
 * called by threads of the store client or of the timer and must not block.
 */
public final class KeyFollower implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(KeyFollower.class);
    /**
     * The delays are short because the keys that the listener holds become stale while the store can't be read. The
     * number of attempts is not limited, so the attempt limit is unused.
     */
    private static final RetryDelays RETRY = new RetryDelays(1, 100, 300);
    /**
     * The delays until all keys are read again because the listener failed. They grow, because a listener that fails on
     * each read would make every daemon read everything again and again.
     */
    private static final RetryDelays REREAD = new RetryDelays(1, 1000, 60_000);
    /** The longest time for a read of all keys, whose pages may be requested one after the other. */
    private static final long READ_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(30);
    /** The longest time without an event of a watch; a store client reports each poll or connection that fails. */
    private static final long SILENCE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(10);

    private static final long CHECK_INTERVAL_MILLIS = 500;

    private final KeyValueStore store;
    private final KeyRange range;
    private final RandomGenerator random;
    private final LongSupplier nanoClock;
    private final Listener listener;
    private final Scheduler timer = Schedulers.parallel();
    private final Object lock = new Object();
    private Round round = new Round();
    private Disposable checks = Disposables.disposed();
    private int failures;
    /** The era of the last read that was delivered. */
    private long era;

    /** How many rounds in a row began with a full read that the listener could not apply. */
    private int unappliedReads;

    private boolean closed;

    /** Receives the keys and the state of the store. */
    public interface Listener {
        /** Replaces all keys received before. The pages of a large result may come from successive reads. */
        void replace(RangeResult all);

        /** Receives a key that was set. */
        void put(KeyValue entry);

        /** Receives the deletion of a key, explicit or by the end of its lease. */
        void deleted(String key, StoreRevision revision);

        /** Called when the store has responded and every change up to this revision has been reported. */
        default void upToDate(StoreRevision revision) {}

        /** Called when a read fails or the watch is interrupted. */
        void storeFailed(KeyValueError error);
    }

    /** Creates a follower that uses the clock of {@link System#nanoTime}. */
    public KeyFollower(KeyValueStore store, KeyRange range, RandomGenerator random, Listener listener) {
        this(store, range, random, System::nanoTime, listener);
    }

    /** Creates a follower with its own monotonic clock. */
    KeyFollower(
            KeyValueStore store, KeyRange range, RandomGenerator random, LongSupplier nanoClock, Listener listener) {
        this.store = Objects.requireNonNull(store, "store");
        this.range = Objects.requireNonNull(range, "range");
        this.random = Objects.requireNonNull(random, "random");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /** Reads the keys and starts the watch. */
    public void start() {
        Round first;
        synchronized (lock) {
            checks = timer.schedulePeriodically(
                    this::beginNextRoundIfDue, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            first = round;
            first.deadlineNanos = nanoClock.getAsLong() + READ_LIMIT_NANOS;
        }
        first.begin();
    }

    /** Stops the watch. */
    @Override
    public void close() {
        synchronized (lock) {
            closed = true;
            checks.dispose();
            round.calls.dispose();
        }
    }

    private void beginNextRoundIfDue() {
        Round previous;
        Round next;
        synchronized (lock) {
            previous = round;
            if (closed || !previous.isDue(nanoClock.getAsLong())) {
                return;
            }
            next = new Round();
            next.deadlineNanos = nanoClock.getAsLong() + READ_LIMIT_NANOS;
            round = next;
        }
        try {
            previous.calls.dispose();
        } finally {
            next.begin();
        }
    }

    /** One read of all keys and the watch that follows it. The lock of the follower guards the fields. */
    private final class Round {
        private final Disposable.Composite calls = Disposables.composite();
        /** When the next round begins, unless an event arrives before. */
        private long deadlineNanos;

        private boolean ended;
        /** Whether the listener failed to apply a change, so that all keys have to be read again. */
        private boolean incomplete;
        /** When the next round begins if this one is incomplete. */
        private long rereadNanos;

        private void begin() {
            try {
                calls.add(store.range(range, false)
                        .defaultIfEmpty(Either.left(new KeyValueError.Unavailable("the read has no result")))
                        .subscribe(this::acceptRead, this::fail));
            } catch (Throwable e) {
                fail(e);
            }
        }

        private void acceptRead(Either<KeyValueError, RangeResult> read) {
            if (read.isLeft()) {
                fail(read.getLeft());
                return;
            }
            synchronized (lock) {
                if (isOver()) {
                    return;
                }
                if (read.get().revision().era() < era) {
                    fail(new KeyValueError.Unavailable("the read belongs to an earlier era of the store"));
                    return;
                }
                era = read.get().revision().era();
                failures = 0;
                deliver(() -> listener.replace(read.get()));
                unappliedReads = incomplete ? unappliedReads + 1 : 0;
            }
            watch(read.get().revision().next());
        }

        private void watch(StoreRevision start) {
            try {
                calls.add(store.watch(range, start)
                        .subscribe(
                                this::acceptEvent,
                                this::fail,
                                () -> fail(new KeyValueError.Unavailable("the watch has ended"))));
            } catch (Throwable e) {
                fail(e);
            }
        }

        private void acceptEvent(Either<KeyValueError, WatchEvent> event) {
            if (event.isLeft()) {
                deliver(() -> listener.storeFailed(event.getLeft()));
            } else if (event.get() instanceof WatchEvent.Compacted) {
                end(0);
            } else {
                acceptChange(event.get());
            }
        }

        /** Applies a change of the era of this round; a later era ends the round, an earlier one changes nothing. */
        private void acceptChange(WatchEvent event) {
            int order = compareEra(event.revision());
            if (order > 0) {
                end(0);
            }
            if (order != 0) {
                return;
            }
            if (event instanceof WatchEvent.Put put) {
                deliver(() -> listener.put(put.entry()));
            } else if (event instanceof WatchEvent.Deleted deleted) {
                deliver(() -> listener.deleted(deleted.key(), deleted.revision()));
            } else if (event instanceof WatchEvent.Current current) {
                deliver(() -> listener.upToDate(current.revision()));
            }
        }

        private int compareEra(StoreRevision revision) {
            synchronized (lock) {
                return Long.compare(revision.era(), era);
            }
        }

        private void deliver(Runnable call) {
            synchronized (lock) {
                if (!isOver()) {
                    deadlineNanos = nanoClock.getAsLong() + SILENCE_LIMIT_NANOS;
                    notifyListener(call);
                }
            }
        }

        /** Calls the listener; a failure on one change must not hide the later ones. */
        private void notifyListener(Runnable call) {
            try {
                call.run();
            } catch (Throwable e) {
                scheduleReread(e);
            }
        }

        private void scheduleReread(Throwable cause) {
            if (incomplete) {
                return;
            }
            incomplete = true;
            Duration delay = REREAD.delayAfter(unappliedReads + 1, random);
            rereadNanos = nanoClock.getAsLong() + delay.toNanos();
            LOG.errorf(
                    cause,
                    "A change of the store could not be applied; all keys are read again in %d ms",
                    delay.toMillis());
        }

        /** Returns whether the next round has to begin; a round that is silent for too long fails. */
        private boolean isDue(long nowNanos) {
            if (nowNanos - deadlineNanos >= 0) {
                fail(new KeyValueError.Unavailable("the store client has reported nothing for too long"));
                return true;
            }
            return incomplete && !ended && nowNanos - rereadNanos >= 0;
        }

        private void fail(Throwable error) {
            fail(new KeyValueError.Unavailable(String.valueOf(error)));
            LOG.errorf(error, "The watch of the store failed; the keys are read again");
        }

        private void fail(KeyValueError error) {
            synchronized (lock) {
                if (!isOver()) {
                    failures++;
                    end(RETRY.delayAfter(failures, random).toMillis());
                    notifyListener(() -> listener.storeFailed(error));
                }
            }
        }

        private void end(long delayMillis) {
            synchronized (lock) {
                if (!isOver()) {
                    ended = true;
                    deadlineNanos = nanoClock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
                    timer.schedule(KeyFollower.this::beginNextRoundIfDue, delayMillis, TimeUnit.MILLISECONDS);
                }
            }
        }

        private boolean isOver() {
            return closed || ended || this != round;
        }
    }
}
