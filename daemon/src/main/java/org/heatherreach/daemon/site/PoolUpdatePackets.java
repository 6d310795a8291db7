package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.CodedOutputStream;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.protocol.peer.wire.PoolRetries;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.peer.PacketSocket;

/**
 * Splits a report of the pools into packets.
 *
 * <p>Invariant: no packet is larger than {@link PacketSocket#PACKET_LIMIT_BYTES}; every answered server and every retry
 * window is in one of them; all loads are in the first, up to {@link #LOADS_PER_PACKET}.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class PoolUpdatePackets {
    /** More servers than a daemon has requests at, at the target of 136 requests/s; ten bytes each at most. */
    static final int LOADS_PER_PACKET = 100;

    private static final int BYTES_PER_HASH = 4;
    /** The sender, the flag, and the tags and lengths of the packed fields. */
    private static final int HEAD_BYTES = 32;

    private final long sender;
    private final List<PoolUpdate> packets = new ArrayList<>();
    private PoolUpdate.Builder current;
    private int sizeBytes = HEAD_BYTES;

    private PoolUpdatePackets(long sender) {
        this.sender = sender;
        this.current = PoolUpdate.newBuilder().setSender(sender);
    }

    /**
     * Returns the packets with the loads, the servers that answered and the retry windows.
     *
     * @param sender the incarnation of this daemon
     * @param inFlight the requests in flight by the hash of the server
     */
    static List<PoolUpdate> split(
            long sender, Map<Integer, Integer> inFlight, Set<Integer> answered, Map<ServiceId, RetryUsage> retries) {
        PoolUpdatePackets packets = new PoolUpdatePackets(sender);
        packets.current.setHasLoads(true);
        inFlight.entrySet().stream()
                .limit(LOADS_PER_PACKET)
                .forEach(load -> packets.add(load.getKey(), load.getValue()));
        answered.forEach(packets::addAnswered);
        retries.forEach(packets::addRetries);
        packets.packets.add(packets.current.build());
        return packets.packets;
    }

    private void add(int server, int inFlight) {
        makeRoom(BYTES_PER_HASH + CodedOutputStream.computeUInt32SizeNoTag(inFlight));
        current.addLoadedServers(server).addInFlight(inFlight);
    }

    private void addAnswered(int server) {
        makeRoom(BYTES_PER_HASH);
        current.addAnsweredServers(server);
    }

    private void addRetries(ServiceId service, RetryUsage usage) {
        PoolRetries retries = PoolRetries.newBuilder()
                .setService(service.value())
                .setRequests((int) usage.requests())
                .setRetries((int) usage.retries())
                .build();
        makeRoom(CodedOutputStream.computeMessageSize(PoolUpdate.RETRIES_FIELD_NUMBER, retries));
        current.addRetries(retries);
    }

    private void makeRoom(int addedBytes) {
        if (sizeBytes + addedBytes > PacketSocket.PACKET_LIMIT_BYTES) {
            packets.add(current.build());
            current = PoolUpdate.newBuilder().setSender(sender);
            sizeBytes = HEAD_BYTES;
        }
        sizeBytes += addedBytes;
    }
}
