package org.heatherreach.coordination.balance;

import java.util.LinkedHashMap;
import java.util.Map;

import org.heatherreach.state.id.ServerId;

/**
 * The notices of the servers of one service to this daemon.
 *
 * <p>Invariants: a notice belongs to one incarnation of a server, so it does not hold for a later start or for another
 * server at the same address; it is kept while the server is not listed, so that a server that is listed again after an
 * outage of the store is not taken for a new one; a request for quiet is never shortened by a later one.
 *
 * <p>Confined to one duty thread.
 */
final class ServerNotices {
    /** The oldest notices beyond this number are forgotten; more servers than a service has at a time. */
    private static final int MAX_SERVERS = 4096;

    private final Map<Identity, Announced> announcedByServer = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Identity, Announced> eldest) {
            return size() > MAX_SERVERS;
        }
    };

    /** One start of a server. */
    private record Identity(ServerId server, long incarnation) {}

    /** What one start of a server announced so far. */
    private static final class Announced {
        private boolean leaving;
        private boolean askedForQuiet;
        private long quietDeadlineNanos;
    }

    /** Records a notice and returns whether it is the first that announces the end of the server. */
    boolean record(PoolServer server, ServerNotice notice) {
        Announced announced = announcedByServer.computeIfAbsent(identityOf(server), key -> new Announced());
        boolean newlyLeaving = notice.leaving() && !announced.leaving;
        announced.leaving |= notice.leaving();
        notice.quietDeadlineNanos().forEach(deadlineNanos -> {
            if (!announced.askedForQuiet || deadlineNanos - announced.quietDeadlineNanos > 0) {
                announced.askedForQuiet = true;
                announced.quietDeadlineNanos = deadlineNanos;
            }
        });
        return newlyLeaving;
    }

    /** Returns whether the server announced that it is about to stop. */
    boolean isLeaving(PoolServer server) {
        Announced announced = announcedByServer.get(identityOf(server));
        return announced != null && announced.leaving;
    }

    /** Returns until when the server asked to get no requests, or the given time if it did not. */
    long quietDeadlineNanos(PoolServer server, long otherwiseNanos) {
        Announced announced = announcedByServer.get(identityOf(server));
        return announced != null && announced.askedForQuiet ? announced.quietDeadlineNanos : otherwiseNanos;
    }

    private static Identity identityOf(PoolServer server) {
        return new Identity(server.id(), server.incarnation());
    }
}
