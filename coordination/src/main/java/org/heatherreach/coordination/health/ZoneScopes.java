package org.heatherreach.coordination.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.heatherreach.state.id.ZoneId;

/**
 * The numbers of the scopes of evidence: 0 for every zone, and one for each zone that has reported.
 *
 * <p>Invariant: the number of a zone never changes. Confined to one duty thread.
 */
final class ZoneScopes {
    private final Map<ZoneId, Integer> numbers = new HashMap<>();
    private final List<ZoneId> zones = new ArrayList<>();

    /** Adds a zone. Returns whether it is new. */
    boolean add(ZoneId zone) {
        if (numbers.putIfAbsent(Objects.requireNonNull(zone, "zone"), zones.size() + 1) != null) {
            return false;
        }
        zones.add(zone);
        return true;
    }

    /** Returns the scope of a zone that was added. */
    int of(ZoneId zone) {
        return numbers.get(zone);
    }

    /** Returns the number of scopes. */
    int count() {
        return zones.size() + 1;
    }

    /** Returns the zone of a scope; empty if it is every zone. */
    Optional<ZoneId> zoneOf(int scope) {
        return scope == 0 ? Optional.empty() : Optional.of(zones.get(scope - 1));
    }
}
