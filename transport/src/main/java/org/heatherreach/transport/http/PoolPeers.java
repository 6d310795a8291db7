package org.heatherreach.transport.http;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.heatherreach.coordination.balance.PoolResult;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ServiceId;

/**
 * Sends the state of this daemon's pools to other daemons. Called by the schedule duty; implementations must not block.
 */
public interface PoolPeers {
    /** No peers. */
    PoolPeers NONE = new PoolPeers() {
        @Override
        public int peerCount(boolean sameZone) {
            return 0;
        }

        @Override
        public DaemonId self() {
            return new DaemonId("self");
        }

        @Override
        public List<DaemonId> zoneDaemons() {
            return List.of();
        }

        @Override
        public void reportFailure(ServiceId service, ServerId server, long incarnation, PoolResult result) {}

        @Override
        public void reportLoads(Map<Integer, Integer> inFlight, Set<Integer> answered, boolean sameZone) {}
    };

    /**
     * Returns the number of daemons that receive reports.
     *
     * @param sameZone whether to count the peers in the zone of this daemon; otherwise those in other zones
     */
    int peerCount(boolean sameZone);

    /** Returns the id of this daemon. */
    DaemonId self();

    /** Returns the daemons in the zone of this daemon, which is one of them unless it leaves. */
    List<DaemonId> zoneDaemons();

    /**
     * Returns whether the state of this daemon that goes with each report has changed lately, so that these peers may not
     * know it.
     *
     * @param sameZone whether to ask for the peers in the zone of this daemon; otherwise for those in other zones
     */
    default boolean hasUnreportedChange(boolean sameZone) {
        return false;
    }

    /** Reports that a server failed a request, or that a suspected server works again. */
    void reportFailure(ServiceId service, ServerId server, long incarnation, PoolResult result);

    /**
     * Reports the numbers of requests that this daemon currently has in flight at servers.
     *
     * @param inFlight the numbers of requests by the hash of the server
     * @param answered the hashes of the servers that responded since the last report to these peers
     * @param sameZone whether the report goes to the peers in the zone of this daemon; otherwise it goes to those in
     *     other zones
     */
    void reportLoads(Map<Integer, Integer> inFlight, Set<Integer> answered, boolean sameZone);

    /**
     * Reports the loads, the work that is left of the requests in flight, and the servers that shed.
     *
     * @param workLeftNanos the work left by the hash of the server
     * @param rejecting the hashes of the servers that turned a request away since the last report to these peers, although
     *     they should have had room
     */
    default void reportLoads(
            Map<Integer, Integer> inFlight,
            Map<Integer, Long> workLeftNanos,
            Set<Integer> answered,
            Set<Integer> rejecting,
            boolean sameZone) {
        reportLoads(inFlight, answered, sameZone);
    }
}
