package org.heatherreach.daemon.site;

import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;

import io.vavr.control.Either;
import org.heatherreach.coordination.watch.ReaderAction;
import org.heatherreach.protocol.kv.KeyRange;
import org.heatherreach.protocol.kv.WatchEvent;
import org.heatherreach.protocol.peer.wire.StoredKey;
import org.heatherreach.state.store.StoreRevision;
import org.heatherreach.transport.kv.KeyValueError;
import org.heatherreach.transport.kv.KeyValueStore;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.FluxSink;

/**
 * One watch of all keys, whose changes come from the store or from a reader of the zone.
 *
 * <p>Invariants: no change is reported twice, and none of an earlier revision than the last one; every change up to the
 * position has been reported; the store is watched from the position on.
 *
 * <p>Thread safety: none; guarded by the caller. The subscriber is called with the caller's locks and must not block.
 */
final class KeyWatch {
    private final FluxSink<Either<KeyValueError, WatchEvent>> sink;
    /** Every change up to this revision has been reported. */
    private StoreRevision position;
    /** Whether some changes of a poll of the store were reported, and not yet its revision. */
    private boolean midPoll;

    private Disposable storeWatch = Disposables.disposed();
    private Runnable cancelCall = () -> {};
    /** What to do once the present poll of the store has been reported. */
    private List<ReaderAction> deferred = List.of();

    /**
     * Creates a watch that has no source yet.
     *
     * @param sink receives the changes
     * @param start the revision of the first change to report
     */
    KeyWatch(FluxSink<Either<KeyValueError, WatchEvent>> sink, StoreRevision start) {
        this.sink = Objects.requireNonNull(sink, "sink");
        this.position = new StoreRevision(start.era(), start.revision() - 1);
    }

    /** Returns the revision up to which every change has been reported. */
    StoreRevision position() {
        return position;
    }

    /** Returns whether the subscriber has cancelled the watch. */
    boolean isCancelled() {
        return sink.isCancelled();
    }

    /** Returns whether some changes of a poll of the store were reported, and not yet its revision. */
    boolean isMidPoll() {
        return midPoll;
    }

    /** Returns whether the changes come from the store. */
    boolean watchesStore() {
        return !storeWatch.isDisposed();
    }

    /** Returns whether this subscription to the store is the one whose changes are to be reported. */
    boolean isInUse(Disposable subscription) {
        return subscription == storeWatch && !subscription.isDisposed();
    }

    /**
     * Takes the changes from the store from now on.
     *
     * @param listener receives the subscription and each event; the events have to be given to {@link #reportStoreEvent}
     */
    void startStoreWatch(KeyValueStore store, BiConsumer<Disposable, Either<KeyValueError, WatchEvent>> listener) {
        stopStoreWatch();
        Disposable.Swap watch = Disposables.swap();
        storeWatch = watch;
        watch.update(store.watch(KeyRange.ALL, position.next())
                .subscribe(event -> listener.accept(watch, event), sink::error, sink::complete));
    }

    /** Takes no more changes from the store, and drops what was deferred until the end of its poll. */
    void stopStoreWatch() {
        midPoll = false;
        deferred = List.of();
        storeWatch.dispose();
    }

    /** Takes no more changes from the store and cancels the call to a reader. */
    void stop() {
        stopStoreWatch();
        cancelCall();
    }

    /** Sets what cancels the call to a reader that is in progress. */
    void setCall(Runnable cancel) {
        cancelCall = cancel;
    }

    /** Cancels the call to a reader; has no effect after its end. */
    void cancelCall() {
        cancelCall.run();
    }

    /** Keeps actions until the present poll of the store has been reported. */
    void defer(List<ReaderAction> actions) {
        deferred = actions;
    }

    /** Returns the actions that were deferred if no poll is being reported; these are then no longer deferred. */
    List<ReaderAction> takeDue() {
        if (midPoll) {
            return List.of();
        }
        List<ReaderAction> due = deferred;
        deferred = List.of();
        return due;
    }

    /** Reports an event of the store. */
    void reportStoreEvent(Either<KeyValueError, WatchEvent> event) {
        sink.next(event);
        midPoll =
                event.isRight() && (event.get() instanceof WatchEvent.Put || event.get() instanceof WatchEvent.Deleted);
        if (event.isRight() && event.get() instanceof WatchEvent.Current current) {
            advance(current.revision());
        }
    }

    /**
     * Reports the changes of a reader's response that are not reported yet.
     *
     * @param fresh whether the response counts as one of the store even if it has no changes
     */
    void reportAnswer(ReaderAnswer answer, boolean fresh) {
        boolean hasNews = answer.revision().isAfter(position);
        for (StoredKey key : answer.keys()) {
            WatchEvent change = answer.toChange(key);
            if (change.revision().isAfter(position)) {
                sink.next(Either.right(change));
            }
        }
        if (hasNews) {
            advance(answer.revision());
        }
        if (hasNews || fresh) {
            sink.next(Either.right(new WatchEvent.Current(position)));
        }
    }

    /**
     * Makes the subscriber of this watch read all keys, as after a compaction of the store: when this daemon becomes a
     * reader, whose cache needs them, and when the reader that is followed lacks changes or is in a later era.
     */
    void requireFullRead() {
        sink.next(Either.right(new WatchEvent.Compacted(position)));
    }

    private void advance(StoreRevision revision) {
        position = revision.isAfter(position) ? revision : position;
    }
}
