package org.heatherreach.coordination.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.state.id.ServerId;

/**
 * Divides the servers of a service into parts by the leading bits of a hash of their ids. The number of parts is the
 * smallest power of two with which no part is over the limit, so an added or removed server leaves the others in their
 * parts except when that number changes. Immutable and safe for use by any thread.
 */
public final class ServiceParts {
    /** Limit of the servers in one part. */
    public static final int SERVER_LIMIT = 256;

    /** Ids whose hashes share this many leading bits can't be separated further. */
    private static final int MAX_BITS = 20;

    private static final LongHashFunction HASH = LongHashFunction.xx();

    private final int bits;
    private final List<List<ServerId>> parts;

    /** Divides the servers. */
    public ServiceParts(Collection<ServerId> servers) {
        int chosen = 0;
        while (chosen < MAX_BITS && largest(servers, chosen) > SERVER_LIMIT) {
            chosen++;
        }
        bits = chosen;
        List<List<ServerId>> lists = new ArrayList<>();
        for (int i = 0; i < 1 << bits; i++) {
            lists.add(new ArrayList<>());
        }
        for (ServerId server : servers) {
            lists.get(partOf(server, bits)).add(server);
        }
        parts = lists.stream().map(List::copyOf).toList();
    }

    /** Returns the number of parts, at least 1. */
    public int count() {
        return parts.size();
    }

    /** Returns the part of a server, whether it was among the given ones or not. */
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

    private static int largest(Collection<ServerId> servers, int bits) {
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
