package org.heatherreach.coordination.health;

import java.util.Arrays;
import java.util.Objects;

import org.heatherreach.state.id.ServerId;

/**
 * What one daemon counted for one server since its previous report. Immutable and safe for use by any thread.
 * Invariants: no count is negative; there are {@link LatencyBuckets#COUNT} latency counts.
 *
 * @param server the server
 * @param requests exchanges that completed or failed, plus one for each stall of an open exchange; an exchange that is
 *     abandoned after such a stall is not counted again
 * @param errors exchanges that failed with an error
 * @param truncated exchanges whose response was truncated
 * @param stalled stalls of exchanges; an exchange that stays silent for twice as long counts again
 * @param connectFailures connection attempts that failed
 * @param latencyCounts times to the response head by bucket; an exchange without one is counted once by its age
 */
public record ServerEvidence(
        ServerId server,
        int requests,
        int errors,
        int truncated,
        int stalled,
        int connectFailures,
        int[] latencyCounts) {
    /**
     * Creates evidence.
     *
     * @throws IllegalArgumentException if a count is negative or the number of buckets is wrong
     */
    public ServerEvidence {
        Objects.requireNonNull(server, "server");
        if (requests < 0 || errors < 0 || truncated < 0 || stalled < 0 || connectFailures < 0) {
            throw new IllegalArgumentException("counts must not be negative");
        }
        if (latencyCounts.length != LatencyBuckets.COUNT) {
            throw new IllegalArgumentException("latencyCounts must have " + LatencyBuckets.COUNT + " buckets");
        }
        latencyCounts = latencyCounts.clone();
        for (int count : latencyCounts) {
            if (count < 0) {
                throw new IllegalArgumentException("counts must not be negative");
            }
        }
    }

    /** Returns a copy of the latency counts. */
    @Override
    public int[] latencyCounts() {
        return latencyCounts.clone();
    }

    /** Returns the count of one latency bucket. */
    public int latencyCount(int bucket) {
        return latencyCounts[bucket];
    }

    /** Returns the failures of every kind. */
    public int failures() {
        return errors + truncated + stalled + connectFailures;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ServerEvidence that
                && server.equals(that.server)
                && requests == that.requests
                && errors == that.errors
                && truncated == that.truncated
                && stalled == that.stalled
                && connectFailures == that.connectFailures
                && Arrays.equals(latencyCounts, that.latencyCounts);
    }

    @Override
    public int hashCode() {
        return Objects.hash(server, requests, errors, truncated, stalled, connectFailures)
                + 31 * Arrays.hashCode(latencyCounts);
    }
}
