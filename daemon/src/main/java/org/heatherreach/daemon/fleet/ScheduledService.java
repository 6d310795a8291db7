package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** The scheduling state of one service: its listed servers and its parts. Confined to the duty thread. */
final class ScheduledService {
    private final List<ScheduledPart> parts = new ArrayList<>();
    private final ListedService listed = new ListedService();

    List<ScheduledPart> parts() {
        return parts;
    }

    ListedService listed() {
        return listed;
    }

    /**
     * Chooses a random part in proportion to its usable slots, so that each slot gets the same share of the requests.
     */
    ScheduledPart choosePart(RandomGenerator random) {
        int total = 0;
        for (ScheduledPart part : parts) {
            total += part.usableSlots();
        }
        if (parts.size() == 1 || total == 0) {
            return parts.get(0);
        }
        int drawn = random.nextInt(total);
        for (ScheduledPart part : parts) {
            drawn -= part.usableSlots();
            if (drawn < 0) {
                return part;
            }
        }
        return parts.get(0);
    }
}
