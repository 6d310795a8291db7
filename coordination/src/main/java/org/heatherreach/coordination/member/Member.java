package org.heatherreach.coordination.member;

import java.util.Objects;

import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;
import org.heatherreach.state.id.ZoneId;

/**
 * What is known about one incarnation of a daemon, that is, about one run of its process; the content of a
 * {@code MemberUpdate} message. Of two updates about one incarnation the one with the larger counter wins, then the one
 * with the state of higher precedence.
 * Immutable and safe for use by any thread.
 *
 * @param daemon the configured name
 * @param incarnation identifies the run of the process
 * @param counter version of the update, raised by the member itself to refute a suspicion
 * @param state what is known about the member
 * @param zone the availability zone
 * @param region the region
 * @param address where the member receives messages of peers
 * @param callerPort the port for callers, on the same host as the address
 * @param tableVersion the largest table version that the member is known to hold
 */
public record Member(
        DaemonId daemon,
        IncarnationId incarnation,
        int counter,
        MemberState state,
        ZoneId zone,
        RegionId region,
        MemberAddress address,
        int callerPort,
        long tableVersion) {
    /**
     * Creates an update.
     *
     * @throws IllegalArgumentException if the counter or the version is negative, or the incarnation is zero,
     *     which packets use for "any incarnation"
     */
    public Member {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(address, "address");
        if (incarnation.value() == 0) {
            throw new IllegalArgumentException("incarnation must not be 0");
        }
        if (counter < 0 || tableVersion < 0) {
            throw new IllegalArgumentException("counter and tableVersion must not be negative");
        }
    }

    /** Returns a copy with another state and counter. */
    public Member with(MemberState newState, int newCounter) {
        return new Member(daemon, incarnation, newCounter, newState, zone, region, address, callerPort, tableVersion);
    }

    /** Returns a copy with another table version. */
    public Member withTableVersion(long newTableVersion) {
        return newTableVersion == tableVersion
                ? this
                : new Member(daemon, incarnation, counter, state, zone, region, address, callerPort, newTableVersion);
    }

    /** Returns whether this update replaces another update about the same incarnation. */
    public boolean supersedes(Member other) {
        if (other.state == MemberState.LEFT) {
            return false;
        }
        if (state == MemberState.LEFT || counter > other.counter) {
            return true;
        }
        return counter == other.counter && state.compareTo(other.state) > 0;
    }

    /** Returns the encoded length of the protobuf message, without the tag and length prefix of an enclosing field. */
    public int encodedSizeBytes() {
        // One tag byte per field; the incarnation is a fixed64. Fields with their default value are omitted.
        int size = 9 + 2;
        size += EncodedSize.ofString(daemon.value());
        size += EncodedSize.ofString(zone.value());
        size += EncodedSize.ofString(region.value());
        size += EncodedSize.ofString(address.host());
        size += EncodedSize.ofVarint(counter);
        size += EncodedSize.ofVarint(address.port());
        size += EncodedSize.ofVarint(callerPort);
        size += EncodedSize.ofVarint(tableVersion);
        return size;
    }
}
