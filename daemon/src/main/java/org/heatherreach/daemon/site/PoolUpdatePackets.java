package org.heatherreach.daemon.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.CodedOutputStream;
import org.heatherreach.coordination.admission.RetryUsage;
import org.heatherreach.protocol.peer.wire.PoolRetries;
import org.heatherreach.protocol.peer.wire.PoolUpdate;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.transport.peer.PacketSocket;

/**
 * Splits a pool update into packets that fit into a datagram.
 *
 * <p>Invariant: no packet is larger than {@link PacketSocket#PACKET_LIMIT_BYTES}; each answered server and each retry
 * window is in exactly one packet; the first packet has all loads, but at most {@link #MAX_LOADS}, or {@link #MAX_LOADS_WITH_WORK}
 * if they come with the work that is left.
 *
 * <p>Stateless and safe for use by any thread.
 */
final class PoolUpdatePackets {
    /**
     * More servers than have requests of one daemon in flight at the target rate of 136 requests/s. A load takes at most
     * ten bytes.
     */
    static final int MAX_LOADS = 100;

    /** With the work left, a load takes at most twelve bytes. */
    static final int MAX_LOADS_WITH_WORK = 90;
    /** The largest number that takes three bytes; it is longer than any request runs. */
    private static final long MAX_WORK_LEFT_MILLIS = (1 << 21) - 1;

    private static final int BYTES_PER_HASH = 4;
    /** The tag and the length of a packed field that not every packet has. */
    private static final int FIELD_OVERHEAD_BYTES = 4;

    /** The size of the sender and its state, the flag, and the tags and lengths of the packed fields. */
    private static final int OVERHEAD_BYTES = 59;
    /** The size of the tag and the length of the packed field of the work left. */
    private static final int WORK_OVERHEAD_BYTES = 3;

    private final PoolUpdate header;
    private final List<PoolUpdate> packets = new ArrayList<>();
    private PoolUpdate.Builder current;
    private int sizeBytes = OVERHEAD_BYTES;

    private PoolUpdatePackets(PoolUpdate header) {
        this.header = header;
        this.current = header.toBuilder();
    }

    /**
     * Returns the packets that carry the loads, the servers that answered and the retry windows.
     *
     * @param header the sender and its state, which every packet carries
     * @param inFlight the number of requests in flight by server hash
     * @param answered the hashes of the servers that answered since the last update
     */
    static List<PoolUpdate> split(
            PoolUpdate header,
            Map<Integer, Integer> inFlight,
            Set<Integer> answered,
            Map<ServiceId, RetryUsage> retries) {
        return split(header, inFlight, Map.of(), answered, Set.of(), retries);
    }

    /**
     * Returns the packets that also carry the work that is left of the requests in flight.
     *
     * @param workLeftNanos the work left by server hash, either of every server with requests in flight or of none
     * @param rejecting the hashes of the servers that turned a request away although they should have had room
     */
    static List<PoolUpdate> split(
            PoolUpdate header,
            Map<Integer, Integer> inFlight,
            Map<Integer, Long> workLeftNanos,
            Set<Integer> answered,
            Set<Integer> rejecting,
            Map<ServiceId, RetryUsage> retries) {
        PoolUpdatePackets packets = new PoolUpdatePackets(header);
        packets.current.setHasLoads(true);
        packets.sizeBytes += workLeftNanos.isEmpty() ? 0 : WORK_OVERHEAD_BYTES;
        inFlight.entrySet().stream()
                .limit(workLeftNanos.isEmpty() ? MAX_LOADS : MAX_LOADS_WITH_WORK)
                .forEach(load -> packets.addLoad(load.getKey(), load.getValue(), workLeftNanos.get(load.getKey())));
        answered.forEach(packets::addAnswered);
        rejecting.forEach(packets::addRejecting);
        retries.forEach(packets::addRetries);
        packets.packets.add(packets.current.build());
        return packets.packets;
    }

    private void addLoad(int server, int inFlight, Long workLeftNanos) {
        int loadBytes = BYTES_PER_HASH + CodedOutputStream.computeUInt32SizeNoTag(inFlight);
        if (workLeftNanos == null) {
            makeRoom(loadBytes);
            current.addLoadedServers(server).addInFlight(inFlight);
            return;
        }
        int millis = (int) Math.min(MAX_WORK_LEFT_MILLIS, TimeUnit.NANOSECONDS.toMillis(workLeftNanos));
        makeRoom(loadBytes + CodedOutputStream.computeUInt32SizeNoTag(millis));
        current.addLoadedServers(server).addInFlight(inFlight).addWorkLeftMillis(millis);
    }

    private void addAnswered(int server) {
        makeRoom(BYTES_PER_HASH);
        current.addAnsweredServers(server);
    }

    private void addRejecting(int server) {
        // Any of them may be the first one of its packet.
        makeRoom(BYTES_PER_HASH + FIELD_OVERHEAD_BYTES);
        current.addRejectingServers(server);
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
            current = header.toBuilder();
            sizeBytes = OVERHEAD_BYTES;
        }
        sizeBytes += addedBytes;
    }
}
