package org.heatherreach.coordination.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The addresses at which daemons may run: the seeds of the settings and the VM list. Walks them in order, so that the only
 * one without a member is found within one round. Confined to one thread.
 */
final class ContactList {
    /** Addresses that one call looks at; bounds its cost at about 20 us. A longer list is walked in parts. */
    private static final int SCAN_LIMIT = 1_024;

    private final List<MemberAddress> seeds;
    private final RandomGenerator random;
    private List<MemberAddress> listed = List.of();
    private int position = -1;

    ContactList(Collection<MemberAddress> seeds, RandomGenerator random) {
        this.seeds = List.copyOf(seeds);
        this.random = random;
    }

    /** Replaces the addresses of the VM list. */
    void updateListed(Collection<MemberAddress> addresses) {
        listed = List.copyOf(addresses);
    }

    int listedSize() {
        return listed.size();
    }

    boolean isEmpty() {
        return seeds.isEmpty() && listed.isEmpty();
    }

    /** Returns the next addresses that fit, at most as many as wanted. The list must not be empty. */
    List<MemberAddress> next(int wanted, Predicate<MemberAddress> fits) {
        int size = seeds.size() + listed.size();
        if (position < 0) {
            // Daemons that miss the same members don't all contact the same one first.
            position = random.nextInt(size);
        }
        List<MemberAddress> found = new ArrayList<>(wanted);
        for (int i = Math.min(size, SCAN_LIMIT); i > 0 && found.size() < wanted; i--) {
            position = (position + 1) % size;
            MemberAddress address = position < seeds.size() ? seeds.get(position) : listed.get(position - seeds.size());
            if (fits.test(address)) {
                found.add(address);
            }
        }
        return found;
    }
}
