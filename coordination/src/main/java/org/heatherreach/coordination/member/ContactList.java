package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The addresses at which daemons may run: the configured seeds and the VM list. They are scanned in order, so that a
 * single address without a known member is found within one scan of the list. Confined to one thread.
 */
final class ContactList {
    /** Limit of the addresses scanned per call, which bounds its cost at about 20 us; later calls scan the rest. */
    private static final int SCAN_LIMIT = 1_024;

    private final List<MemberAddress> seeds;
    private final RandomGenerator random;
    private List<MemberAddress> vmListAddresses = List.of();
    private int position = -1;

    ContactList(Collection<MemberAddress> seeds, RandomGenerator random) {
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** Replaces the addresses of the VM list. */
    void updateVmList(Collection<MemberAddress> addresses) {
        vmListAddresses = List.copyOf(addresses);
    }

    int vmListSize() {
        return vmListAddresses.size();
    }

    boolean isEmpty() {
        return seeds.isEmpty() && vmListAddresses.isEmpty();
    }

    /** Returns the next addresses that match the filter, up to the limit. There must be at least one address. */
    List<MemberAddress> next(int limit, Predicate<MemberAddress> filter) {
        int size = seeds.size() + vmListAddresses.size();
        if (position < 0) {
            // A random start keeps daemons that lack the same members from all contacting the same address first.
            position = random.nextInt(size);
        }
        List<MemberAddress> found = new ArrayList<>(limit);
        for (int i = Math.min(size, SCAN_LIMIT); i > 0 && found.size() < limit; i--) {
            position = (position + 1) % size;
            MemberAddress address =
                    position < seeds.size() ? seeds.get(position) : vmListAddresses.get(position - seeds.size());
            if (filter.test(address)) {
                found.add(address);
            }
        }
        return found;
    }
}
