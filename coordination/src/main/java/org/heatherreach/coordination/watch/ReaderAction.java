package org.heatherreach.coordination.watch;

import java.util.Objects;

import org.heatherreach.state.id.DaemonId;

/** What a {@link ReaderPlan} decides. Immutable. */
public sealed interface ReaderAction {
    /**
     * Poll a reader for changes. The previous call, if any, has ended or is cancelled.
     *
     * @param number identifies the call in the plan
     * @param reader the reader
     * @param waitMillis the longest time that the reader may wait for a change
     */
    record Ask(long number, DaemonId reader, long waitMillis) implements ReaderAction {
        /** Creates an action. */
        public Ask {
            Objects.requireNonNull(reader, "reader");
        }
    }

    /** Cancel the call that is in progress. */
    record Cancel() implements ReaderAction {}

    /**
     * Take the changes from a reader, and end the watch of the store.
     *
     * @param reader the reader
     */
    record UseReader(DaemonId reader) implements ReaderAction {
        /** Creates an action. */
        public UseReader {
            Objects.requireNonNull(reader, "reader");
        }
    }

    /**
     * Watch the store.
     *
     * @param reason why no reader is followed any longer
     */
    record UseStore(Reason reason) implements ReaderAction {
        /** Creates an action. */
        public UseStore {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /** Keep the keys of the store and serve them to the other daemons of the zone. */
    record Serve() implements ReaderAction {}

    /** Keep and serve the keys no longer. */
    record StopServing() implements ReaderAction {}

    /** Why the store is watched. */
    enum Reason {
        /** A watch begins, and no reader is followed. */
        START,
        /** No reader of the zone is usable. */
        READERS_FAILED,
        /** Peers have read changes that the reader has not delivered. */
        BEHIND,
        /** This daemon is a reader itself, or its zone has none. */
        ROLE
    }
}
