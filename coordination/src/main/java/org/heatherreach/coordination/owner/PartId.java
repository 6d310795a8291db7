package org.heatherreach.coordination.owner;

import java.util.Objects;

import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ServiceId;

/**
 * Identifies a part of a service in a region. Immutable and safe for use by any thread.
 *
 * @param region the region
 * @param service the service
 * @param part the number of the part, from zero
 */
public record PartId(RegionId region, ServiceId service, int part) {
    /**
     * Creates an id.
     *
     * @throws IllegalArgumentException if the part is negative
     */
    public PartId {
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(service, "service");
        if (part < 0) {
            throw new IllegalArgumentException("part must not be negative");
        }
    }

    /** Returns the form {@code region/service/part}. */
    @Override
    public String toString() {
        return region + "/" + service + "/" + part;
    }
}
