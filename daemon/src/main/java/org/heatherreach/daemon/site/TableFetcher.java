package org.heatherreach.daemon.site;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.heatherreach.coordination.watch.FetchAction;
import org.heatherreach.coordination.watch.PeerFetchPlan;
import org.jboss.logging.Logger;

/**
 * Fetches a newer routing table from the peers that report one, if the store does not deliver it in time. The decisions
 * are those of the {@link PeerFetchPlan}.
 *
 * <p>Invariant: no timer runs and no connection is open while no peer reports a newer version.
 *
 * <p>Thread safety: {@link #recordReport} may be called by any thread; all else is confined to the event loop, apart from
 * the validation of a fetched table.
 */
final class TableFetcher {
    private static final Logger LOG = Logger.getLogger(TableFetcher.class);
    private static final String FETCHES = "heatherreach.table.fetches";

    private final EventLoop loop;
    private final TableInUse table;
    private final Function<InetSocketAddress, Option<DaemonRegistry.Peer>> registry;
    private final BiFunction<InetSocketAddress, TableClient.Listener, Runnable> client;
    private final Executor validator;
    private final MeterRegistry meters;
    private final LongSupplier nanoClock;
    private final PeerFetchPlan plan = new PeerFetchPlan();
    private Runnable cancelFetch = () -> {};
    private Option<Future<?>> timer = Option.none();
    private long timerNanos;
    /** Whether giving up was logged since the daemon last was up to date. */
    private boolean givenUp;

    /** How a fetch ended. */
    private enum Result {
        ADOPTED,
        FAILED,
        TIMEOUT,
        NOT_NEEDED,
        REJECTED;

        private final String label = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Creates a fetcher.
     *
     * @param loop runs the decisions
     * @param table supplies the version in use and takes the fetched tables
     * @param registry looks up a listed daemon by its datagram address, which is also the address of its table
     * @param client fetches the table from an address; returns what cancels the fetch
     * @param validator runs the validation of a fetched table, which takes too long for the event loop if it is large
     * @param meters counts the fetches by result
     * @param nanoClock the monotonic clock
     */
    TableFetcher(
            EventLoop loop,
            TableInUse table,
            Function<InetSocketAddress, Option<DaemonRegistry.Peer>> registry,
            BiFunction<InetSocketAddress, TableClient.Listener, Runnable> client,
            Executor validator,
            MeterRegistry meters,
            LongSupplier nanoClock) {
        this.loop = Objects.requireNonNull(loop, "loop");
        this.table = Objects.requireNonNull(table, "table");
        this.registry = Objects.requireNonNull(registry, "registry");
        this.client = Objects.requireNonNull(client, "client");
        this.validator = Objects.requireNonNull(validator, "validator");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.nanoClock = Objects.requireNonNull(nanoClock, "nanoClock");
    }

    /** Records the version that a peer has in use. Only listed daemons are asked for their table. */
    void recordReport(long version, InetSocketAddress from) {
        boolean relevant = version > table.version()
                && (table.hasWorkspaces() || table.table().isEmpty());
        if (!relevant) {
            return;
        }
        if (loop.inEventLoop()) {
            recordNewer(version, from);
        } else {
            loop.execute(() -> recordNewer(version, from));
        }
    }

    private void recordNewer(long version, InetSocketAddress from) {
        registry.apply(from).forEach(peer -> {
            plan.recordReport(from, peer.sameZone(), version, nanoClock.getAsLong());
            advance();
        });
    }

    /** Carries out what is due, and sets the timer for what will be. */
    private void advance() {
        perform(plan.recordOwnVersion(table.version(), nanoClock.getAsLong()));
        perform(plan.tick(nanoClock.getAsLong(), table.mayFetch()));
        Option<Long> next = plan.nextTickNanos();
        if (next.isEmpty()) {
            givenUp = false;
        }
        setTimer(next);
    }

    private void setTimer(Option<Long> next) {
        if (timer.isDefined() && next.contains(timerNanos)) {
            return;
        }
        timer.forEach(known -> known.cancel(false));
        timer = next.map(dueNanos -> {
            timerNanos = dueNanos;
            return loop.schedule(this::fireTimer, dueNanos - nanoClock.getAsLong(), TimeUnit.NANOSECONDS);
        });
    }

    private void fireTimer() {
        timer = Option.none();
        advance();
    }

    private void perform(List<FetchAction> actions) {
        for (FetchAction action : actions) {
            if (action instanceof FetchAction.Start start) {
                cancelFetch = client.apply(start.peer(), new FetchListener(start));
            } else if (action instanceof FetchAction.Drop drop) {
                cancelFetch.run();
                count(drop.reason() == FetchAction.DropReason.TIMEOUT ? Result.TIMEOUT : Result.NOT_NEEDED);
            } else if (action instanceof FetchAction.GiveUp giveUp) {
                logGivingUp(giveUp);
            }
        }
    }

    private void logGivingUp(FetchAction.GiveUp giveUp) {
        if (!givenUp) {
            givenUp = true;
            LOG.warnf(
                    "table version=%d peers-version=%d state=behind peers-asked=%d",
                    table.version(), giveUp.version(), giveUp.peers());
        }
    }

    private void count(Result result) {
        meters.counter(FETCHES, "result", result.label).increment();
    }

    private final class FetchListener implements TableClient.Listener {
        private final FetchAction.Start start;

        private FetchListener(FetchAction.Start start) {
            this.start = start;
        }

        @Override
        public void progressed() {
            plan.recordProgress(start.fetch(), nanoClock.getAsLong());
            advance();
        }

        @Override
        public void completed(byte[] encoded) {
            plan.recordCompletion(start.fetch(), nanoClock.getAsLong());
            advance();
            validator.execute(() -> {
                Either<String, Long> adopted = validate(encoded);
                loop.execute(() -> finish(adopted));
            });
        }

        private Either<String, Long> validate(byte[] encoded) {
            try {
                return table.adopt(encoded, start.peer());
            } catch (RuntimeException e) {
                return Either.left("not readable");
            }
        }

        private void finish(Either<String, Long> adopted) {
            if (adopted.isLeft()) {
                end(Result.REJECTED, adopted.getLeft());
                return;
            }
            if (plan.isCurrent(start.fetch())) {
                count(Result.ADOPTED);
                perform(plan.recordSuccess(start.fetch(), adopted.get(), nanoClock.getAsLong()));
            }
            advance();
        }

        @Override
        public void failed(String reason) {
            // Not at once, because the client can fail before the start of the fetch has been recorded.
            loop.execute(() -> end(Result.FAILED, reason));
        }

        private void end(Result result, String reason) {
            // Drops the fetch if the store has delivered the version meanwhile.
            advance();
            if (plan.isCurrent(start.fetch())) {
                count(result);
                LOG.debugf("table peer=%s state=%s reason=\"%s\"", start.peer(), result.label, reason);
                plan.recordFailure(start.fetch());
                advance();
            }
        }
    }
}
