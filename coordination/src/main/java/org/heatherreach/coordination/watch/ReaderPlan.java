package org.heatherreach.coordination.watch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Option;
import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.DaemonId;

/**
 * Decides which daemons of a large availability zone read the store for the others, and whether this daemon takes the
 * changes from one of these readers or from the store.
 *
 * <p>A follower gives up its reader when the last confirmation by the store that the reader has passed on becomes too
 * old, when a response is late, or when a call fails. The other reader then gets a short time to respond. If that fails
 * too, the follower watches the store, and tries a reader again later while that watch goes on.
 *
 * <p>Invariants: all daemons that know the same members select the same readers; in a zone that is smaller than the limit
 * no action is ever returned beyond the start of a watch; at most one call is in progress; while a reader is followed,
 * its last confirmation is no older than {@link #confirmationLimitNanos} at the time of a tick.
 *
 * <p>Confined to one thread, or guarded by the caller.
 */
public final class ReaderPlan {
    /** Two readers, so that the loss of one is made up for without the store. */
    public static final int READERS = 2;
    /** The longest wait of a poll at a reader. Its end shows that the connection works. */
    public static final long POLL_WAIT_MILLIS = 1000;

    private static final long RESPONSE_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
    /** Short, because the first reader has used up most of the time within which a change has to be in force. */
    private static final long SWITCH_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double CONFIRMATION_SHARE = 0.25;
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final long READER_HASH = HASH.hashChars("zone-reader");

    private final DaemonId self;
    private final int zoneSizeLimit;
    private final long confirmationLimitNanos;
    private List<DaemonId> readers = List.of();
    private Role role = Role.INDEPENDENT;
    /** The reader that is followed; empty while the store is watched or another reader is asked instead. */
    private Option<DaemonId> source = Option.none();
    /**
     * Whether the store is watched, also during a trial of a reader. Neither this nor a source holds while the other
     * reader is asked after the one that was followed has failed.
     */
    private boolean storeInUse = true;

    private Option<Call> call = Option.none();
    private long lastNumber;
    /** When the store last confirmed what the reader has passed on. */
    private long confirmationNanos;
    /** When the next reader is tried while the store is watched. */
    private long retryNanos;

    /** What a daemon does for its zone. */
    public enum Role {
        /** Reads the store for itself. */
        INDEPENDENT,
        /** Reads the store and serves the others. */
        READER,
        /** Takes the changes from a reader if it can. */
        FOLLOWER
    }

    private static final class Call {
        private final long number;
        private final DaemonId reader;
        /** Whether it is the second one in a row, after the other reader has failed. */
        private final boolean second;

        private final long deadlineNanos;

        private Call(long number, DaemonId reader, boolean second, long deadlineNanos) {
            this.number = number;
            this.reader = reader;
            this.second = second;
            this.deadlineNanos = deadlineNanos;
        }
    }

    /**
     * Creates the plan of a daemon that knows no members and watches the store.
     *
     * @param self this daemon
     * @param zoneSizeLimit the number of daemons from which on a zone has readers; 0 for none in any zone
     * @param changeBoundMillis within which time a change has to be in force
     */
    public ReaderPlan(DaemonId self, int zoneSizeLimit, long changeBoundMillis) {
        this.self = Objects.requireNonNull(self, "self");
        this.zoneSizeLimit = zoneSizeLimit;
        this.confirmationLimitNanos =
                TimeUnit.MILLISECONDS.toNanos((long) (changeBoundMillis * CONFIRMATION_SHARE) + POLL_WAIT_MILLIS);
    }

    /** Sets the listed daemons of the zone, of which this one is one unless it is leaving. */
    public List<ReaderAction> replaceZone(List<DaemonId> daemons, long nowNanos) {
        List<DaemonId> selected =
                zoneSizeLimit > 0 && daemons.size() >= zoneSizeLimit ? selectReaders(daemons) : List.of();
        if (selected.equals(readers)) {
            return List.of();
        }
        readers = selected;
        List<ReaderAction> actions = new ArrayList<>();
        changeRole(actions, nowNanos);
        if (role != Role.FOLLOWER) {
            if (!storeInUse || call.isDefined()) {
                useStore(actions, ReaderAction.Reason.ROLE, nowNanos);
            }
        } else if (source.exists(reader -> !readers.contains(reader))) {
            leaveReader(actions, source.get(), nowNanos);
        }
        return actions;
    }

    /** Returns the readers of the zone; empty if it has none. */
    public List<DaemonId> readers() {
        return readers;
    }

    /** Returns what this daemon does for its zone. */
    public Role role() {
        return role;
    }

    /** Returns the reader that is followed; empty if there is none. */
    public Option<DaemonId> source() {
        return source;
    }

    /** Returns whether a call is the one in progress. */
    public boolean isCurrent(long number) {
        return call.exists(current -> current.number == number);
    }

    /** Returns after which time without a confirmation by the store a reader is given up. */
    public long confirmationLimitNanos() {
        return confirmationLimitNanos;
    }

    /** Returns what begins a watch. A call in progress belonged to the previous watch. */
    public List<ReaderAction> begin(long nowNanos) {
        List<ReaderAction> actions = new ArrayList<>();
        cancelCall(actions);
        if (source.isDefined() && nowNanos - confirmationNanos < confirmationLimitNanos) {
            ask(actions, source.get(), POLL_WAIT_MILLIS, false, RESPONSE_LIMIT_NANOS, nowNanos);
        } else {
            source = Option.none();
            storeInUse = true;
            actions.add(new ReaderAction.UseStore(ReaderAction.Reason.START));
        }
        return actions;
    }

    /**
     * Records a response that is as new as what this daemon has, or newer.
     *
     * @param responseConfirmationNanos when the store confirmed it to the reader
     * @param endsWatch whether the watch ends with it, because all keys have to be read again
     */
    public List<ReaderAction> recordResponse(
            long number, long responseConfirmationNanos, boolean endsWatch, long nowNanos) {
        if (!isCurrent(number)) {
            return List.of();
        }
        boolean isReader = readers.contains(call.get().reader);
        if (!isReader || nowNanos - responseConfirmationNanos >= confirmationLimitNanos) {
            return recordFailure(number, nowNanos);
        }
        List<ReaderAction> actions = new ArrayList<>();
        DaemonId reader = call.get().reader;
        call = Option.none();
        confirmationNanos = responseConfirmationNanos;
        if (!source.contains(reader)) {
            source = Option.some(reader);
            storeInUse = false;
            actions.add(new ReaderAction.UseReader(reader));
        }
        if (!endsWatch) {
            ask(actions, reader, POLL_WAIT_MILLIS, false, RESPONSE_LIMIT_NANOS, nowNanos);
        }
        return actions;
    }

    /** Records that a call failed, or brought an unusable response. */
    public List<ReaderAction> recordFailure(long number, long nowNanos) {
        if (!isCurrent(number)) {
            return List.of();
        }
        List<ReaderAction> actions = new ArrayList<>();
        failCall(actions, nowNanos);
        return actions;
    }

    /** Gives up the readers for some time, because peers have read what the reader has not delivered. */
    public List<ReaderAction> abandon(long nowNanos) {
        List<ReaderAction> actions = new ArrayList<>();
        if (!storeInUse || call.isDefined()) {
            useStore(actions, ReaderAction.Reason.BEHIND, nowNanos);
        }
        return actions;
    }

    /** Returns what is due. */
    public List<ReaderAction> tick(long nowNanos) {
        List<ReaderAction> actions = new ArrayList<>();
        boolean late = call.exists(current -> nowNanos - current.deadlineNanos >= 0);
        boolean unconfirmed = source.isDefined() && nowNanos - confirmationNanos >= confirmationLimitNanos;
        if (call.isDefined() && (late || unconfirmed)) {
            failCall(actions, nowNanos);
        } else if (role == Role.FOLLOWER && storeInUse && call.isEmpty() && nowNanos - retryNanos >= 0) {
            ask(actions, preferredReader(), 0, false, RESPONSE_LIMIT_NANOS, nowNanos);
        }
        return actions;
    }

    /** Returns when the next tick is due; empty in a zone without readers, and at a reader. */
    public Option<Long> nextTickNanos(long nowNanos) {
        if (call.isDefined()) {
            long deadlineNanos = call.get().deadlineNanos;
            long limitNanos = confirmationNanos + confirmationLimitNanos;
            return Option.some(source.isDefined() && limitNanos - deadlineNanos < 0 ? limitNanos : deadlineNanos);
        }
        return role == Role.FOLLOWER && storeInUse
                ? Option.some(retryNanos - nowNanos < 0 ? nowNanos : retryNanos)
                : Option.none();
    }

    private void changeRole(List<ReaderAction> actions, long nowNanos) {
        Role previous = role;
        if (readers.isEmpty()) {
            role = Role.INDEPENDENT;
        } else {
            role = readers.contains(self) ? Role.READER : Role.FOLLOWER;
        }
        if (previous == role) {
            return;
        }
        if (previous == Role.READER) {
            actions.add(new ReaderAction.StopServing());
        }
        if (role == Role.READER) {
            actions.add(new ReaderAction.Serve());
        }
        retryNanos = nowNanos;
    }

    private void failCall(List<ReaderAction> actions, long nowNanos) {
        Call failed = call.get();
        if (failed.second) {
            useStore(actions, ReaderAction.Reason.READERS_FAILED, nowNanos);
        } else {
            leaveReader(actions, failed.reader, nowNanos);
        }
    }

    /** Asks the other reader at once. The watch of the store goes on if there is one. */
    private void leaveReader(List<ReaderAction> actions, DaemonId reader, long nowNanos) {
        Option<DaemonId> other = Option.ofOptional(
                readers.stream().filter(next -> !next.equals(reader)).findFirst());
        if (other.isEmpty()) {
            useStore(actions, ReaderAction.Reason.READERS_FAILED, nowNanos);
            return;
        }
        cancelCall(actions);
        source = Option.none();
        ask(actions, other.get(), 0, true, SWITCH_LIMIT_NANOS, nowNanos);
    }

    private void useStore(List<ReaderAction> actions, ReaderAction.Reason reason, long nowNanos) {
        cancelCall(actions);
        source = Option.none();
        retryNanos = nowNanos + RETRY_NANOS;
        if (!storeInUse) {
            storeInUse = true;
            actions.add(new ReaderAction.UseStore(reason));
        }
    }

    private void ask(
            List<ReaderAction> actions,
            DaemonId reader,
            long waitMillis,
            boolean second,
            long limitNanos,
            long nowNanos) {
        lastNumber++;
        long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis) + limitNanos;
        call = Option.some(new Call(lastNumber, reader, second, deadlineNanos));
        actions.add(new ReaderAction.Ask(lastNumber, reader, waitMillis));
    }

    private void cancelCall(List<ReaderAction> actions) {
        if (call.isDefined()) {
            call = Option.none();
            actions.add(new ReaderAction.Cancel());
        }
    }

    /** Divides the followers between the readers. */
    private DaemonId preferredReader() {
        return readers.get((int) Math.floorMod(HASH.hashChars(self.value()), (long) readers.size()));
    }

    private static List<DaemonId> selectReaders(List<DaemonId> daemons) {
        return daemons.stream()
                .sorted(Comparator.comparingLong(ReaderPlan::score).thenComparing(DaemonId::value))
                .limit(READERS)
                .toList();
    }

    private static long score(DaemonId daemon) {
        return HASH.hashLong(READER_HASH ^ HASH.hashChars(daemon.value()));
    }
}
