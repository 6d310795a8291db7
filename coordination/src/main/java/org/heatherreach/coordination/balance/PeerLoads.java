package org.heatherreach.coordination.balance;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.heatherreach.coordination.work.PeerWork;

/**
 * What the daemons tell each other of the loads of one pool's servers, by {@link ServerLoad#hashOf}.
 *
 * <p>Invariant: each answer and each rejection is drained at most once.
 *
 * <p>Confined to one duty thread.
 */
final class PeerLoads {
    private final Collection<ServerLoad> servers;
    private final Set<Integer> newlyAnsweredHashes = new HashSet<>();
    /** Only filled by pools whose policy reports rejections, as only these are emptied. */
    private final Set<Integer> newlyRejectingHashes = new HashSet<>();

    /**
     * Creates an exchange.
     *
     * @param servers a view of the servers of the pool
     */
    PeerLoads(Collection<ServerLoad> servers) {
        this.servers = Objects.requireNonNull(servers, "servers");
    }

    /** Records that a server answered a request of this daemon. */
    void recordAnswer(ServerLoad load) {
        newlyAnsweredHashes.add(load.hash());
    }

    /**
     * Records that a server turned a request of this daemon away, which counts only if it should have had room.
     *
     * @param reported whether the peers are told of it
     */
    void recordShed(ServerLoad load, boolean reported, long nowNanos) {
        if (load.knownInFlight(nowNanos) > load.server().slots()) {
            return;
        }
        load.noteRejection(nowNanos);
        if (reported) {
            newlyRejectingHashes.add(load.hash());
        }
    }

    void drainAnswers(Set<Integer> target) {
        target.addAll(newlyAnsweredHashes);
        newlyAnsweredHashes.clear();
    }

    void drainRejections(Set<Integer> target) {
        target.addAll(newlyRejectingHashes);
        newlyRejectingHashes.clear();
    }

    /** Adds the numbers of requests that this daemon has in flight; servers without any are left out. */
    void addRequests(Map<Integer, Integer> requestsByHash) {
        for (ServerLoad load : servers) {
            if (load.inFlight() > 0) {
                requestsByHash.put(load.hash(), load.inFlight());
            }
        }
    }

    /** Adds the work that this daemon's requests have left; servers without any request are left out. */
    void addWorkLeft(Map<Integer, Long> leftNanosByHash, long nowNanos) {
        for (ServerLoad load : servers) {
            if (load.inFlight() > 0) {
                leftNanosByHash.put(load.hash(), (long) load.work().ownLoadNanos(nowNanos));
            }
        }
    }

    /** Returns the time that the servers are expected to need for the requests of this daemon. */
    double ownWorkLeftNanos(long nowNanos) {
        double sumNanos = 0;
        for (ServerLoad load : servers) {
            sumNanos += load.work().ownLeftNanos(nowNanos);
        }
        return sumNanos;
    }

    /** Sets the numbers of requests of all peers; missing servers keep theirs. */
    void noteRequests(Map<Integer, Integer> requestsByHash, long validUntilNanos) {
        for (ServerLoad load : servers) {
            Integer requests = requestsByHash.get(load.hash());
            if (requests != null) {
                load.notePeerLoad(requests, validUntilNanos);
            }
        }
    }

    /** Sets the work of all peers; missing servers keep theirs. */
    void noteWork(Map<Integer, PeerWork> workByHash) {
        for (ServerLoad load : servers) {
            PeerWork work = workByHash.get(load.hash());
            if (work != null) {
                load.work().notePeerWork(work);
            }
        }
    }

    /** Records that servers answered requests of peers. */
    void noteAnswers(Set<Integer> answeredHashes, long nowNanos) {
        for (ServerLoad load : servers) {
            if (answeredHashes.contains(load.hash())) {
                load.noteAnswer(nowNanos);
            }
        }
    }

    /** Records that servers turned requests of peers away although they should have had room. */
    void noteRejections(Set<Integer> rejectingHashes, long nowNanos) {
        for (ServerLoad load : servers) {
            if (rejectingHashes.contains(load.hash())) {
                load.noteRejection(nowNanos);
            }
        }
    }
}
