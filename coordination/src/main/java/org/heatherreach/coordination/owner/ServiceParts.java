package org.heatherreach.coordination.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.ServerId;

/**
 * Divides the servers of a service into parts by the leading bits of a hash of their ids. The number of parts is the
 * smallest power of two for which no part exceeds the limit, so adding or removing a server leaves the other servers in
 * their parts unless that number changes. Immutable and safe for use by any thread.
 */
public final class ServiceParts {
    /** Limit of the servers in one part. */
    public static final int SERVER_LIMIT = 256;

    /** Limit of the leading bits used; ids whose hashes share this many bits stay in one part. */
    private static final int MAX_BITS = 20;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final int bits;
    private final List<List<ServerId>> parts;

    /** Divides the servers. */
    public ServiceParts(Collection<ServerId> servers) {
        int bitCount = 0;
        while (bitCount < MAX_BITS && largestPartSize(servers, bitCount) > SERVER_LIMIT) {
            bitCount++;
        }
        bits = bitCount;
        List<List<ServerId>> serversByPart = new ArrayList<>();
        for (int i = 0; i < 1 << bits; i++) {
            serversByPart.add(new ArrayList<>());
        }
        for (ServerId server : servers) {
            serversByPart.get(partOf(server, bits)).add(server);
        }
        parts = serversByPart.stream().map(List::copyOf).toList();
    }

    /** Returns the number of parts, at least 1. */
    public int count() {
        return parts.size();
    }

    /** Returns the part of a server, which need not be among the divided servers. */
    public int partOf(ServerId server) {
        return partOf(server, bits);
    }

    /**
     * Returns the servers of a part.
     *
     * @throws IndexOutOfBoundsException if there is no such part
     */
    public List<ServerId> servers(int part) {
        return parts.get(part);
    }

    private static int largestPartSize(Collection<ServerId> servers, int bits) {
        if (servers.size() <= SERVER_LIMIT) {
            return servers.size();
        }
        int[] counts = new int[1 << bits];
        int largest = 0;
        for (ServerId server : servers) {
            largest = Math.max(largest, ++counts[partOf(server, bits)]);
        }
        return largest;
    }

    private static int partOf(ServerId server, int bits) {
        return bits == 0 ? 0 : (int) (HASH.hashChars(server.value()) >>> (64 - bits));
    }
}
