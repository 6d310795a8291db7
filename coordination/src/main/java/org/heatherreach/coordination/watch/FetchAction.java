package org.heatherreach.coordination.watch;

import java.net.InetSocketAddress;
import java.util.Objects;

/** What a {@link PeerFetchPlan} demands. Immutable and safe for use by any thread. */
public sealed interface FetchAction {
    /** Returns the number of the fetch, which no other fetch of the plan has. */
    long fetch();

    /**
     * Fetch from a peer.
     *
     * @param fetch the number of the fetch
     * @param peer the address of the peer
     * @param version the version that the peer reported
     */
    record Start(long fetch, InetSocketAddress peer, long version) implements FetchAction {
        /** Creates an action. */
        public Start {
            Objects.requireNonNull(peer, "peer");
        }
    }

    /**
     * End a fetch without a result.
     *
     * @param fetch the number of the fetch
     * @param reason why it ends
     */
    record Drop(long fetch, DropReason reason) implements FetchAction {
        /** Creates an action. */
        public Drop {
            Objects.requireNonNull(reason, "reason");
        }
    }

    /**
     * Record that every peer was asked in vain. They are asked again after a pause.
     *
     * @param fetch the number of the last fetch
     * @param version the newest version that a peer reported
     * @param peers the number of peers that were asked
     */
    record GiveUp(long fetch, long version, int peers) implements FetchAction {}

    /** Why a fetch ends before its response is complete. */
    enum DropReason {
        /** The daemon has a version that is as new as the one fetched. */
        NOT_NEEDED,
        /** The peer sent nothing for too long, or the transfer took too long. */
        TIMEOUT
    }
}
