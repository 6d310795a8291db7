package org.heatherreach.coordination.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import net.openhft.hashing.LongHashFunction;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.state.id.IncarnationId;
import org.heatherreach.state.id.RegionId;

/**
 * Assigns each service part of a region to one live member of that region, and selects the readers of the table, by
 * rendezvous hashing: all daemons with the same members compute the same result, and a member that joins or leaves
 * moves only the parts that it then owns or owned before.
 *
 * <p>The score uses the daemon's name, so a restarted daemon gets its parts back instead of moving them twice.
 * Assignments are cached per part. A new member costs one hash per cached part; the loss of a member only removes the
 * cached parts that it owned. Confined to one thread.
 */
public final class OwnerMap {
    /** Number of daemons per region that watch the table in the store. */
    public static final int READERS_PER_REGION = 3;

    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final long READER_HASH = HASH.hashChars("table-reader");

    private final Map<RegionId, Map<IncarnationId, Candidate>> regions = new HashMap<>();
    private final Map<PartId, Assignment> assignments = new HashMap<>();

    /** Updates a member. Only live members can own parts. Passing the same member again has no effect. */
    public void updateMember(Member member) {
        Map<IncarnationId, Candidate> region = regions.computeIfAbsent(member.region(), ignored -> new HashMap<>());
        if (!member.state().isLive()) {
            if (region.remove(member.incarnation()) != null) {
                assignments
                        .values()
                        .removeIf(assignment ->
                                assignment.owner.member.incarnation().equals(member.incarnation()));
            }
            return;
        }
        Candidate existing = region.get(member.incarnation());
        if (existing != null) {
            existing.member = member;
            return;
        }
        Candidate added = new Candidate(member);
        region.put(member.incarnation(), added);
        assignments.forEach((part, assignment) -> {
            if (part.region().equals(member.region())) {
                assignment.consider(added);
            }
        });
    }

    /** Returns the owner of a part; empty if its region has no live member. */
    public Optional<Member> owner(PartId part) {
        Assignment assignment = assignments.get(part);
        if (assignment == null) {
            assignment = new Assignment(HASH.hashChars(part.toString()));
            for (Candidate candidate :
                    regions.getOrDefault(part.region(), Map.of()).values()) {
                assignment.consider(candidate);
            }
            if (assignment.owner == null) {
                return Optional.empty();
            }
            assignments.put(part, assignment);
        }
        return Optional.of(assignment.owner.member);
    }

    /** Removes a part that no longer exists. */
    public void remove(PartId part) {
        assignments.remove(part);
    }

    /**
     * Returns the readers of the table in a region, at most {@link #READERS_PER_REGION}, in descending order of their
     * scores.
     */
    public List<Member> readers(RegionId region) {
        List<Candidate> best = new ArrayList<>(READERS_PER_REGION + 1);
        for (Candidate candidate : regions.getOrDefault(region, Map.of()).values()) {
            int index = best.size();
            while (index > 0 && candidate.scoresHigher(best.get(index - 1), READER_HASH)) {
                index--;
            }
            if (index < READERS_PER_REGION) {
                best.add(index, candidate);
                if (best.size() > READERS_PER_REGION) {
                    best.remove(READERS_PER_REGION);
                }
            }
        }
        return best.stream().map(candidate -> candidate.member).toList();
    }

    /** Returns the regions that have had a live member. */
    public List<RegionId> regions() {
        return regions.keySet().stream().sorted().toList();
    }

    private static final class Candidate {
        private final long nameHash;
        private Member member;

        Candidate(Member member) {
            this.member = member;
            this.nameHash = HASH.hashChars(member.daemon().value());
        }

        long score(long keyHash) {
            return HASH.hashLong(keyHash ^ nameHash);
        }

        /**
         * Compares scores. Two incarnations of one daemon have equal scores, so the larger incarnation breaks the tie.
         */
        boolean scoresHigher(Candidate other, long keyHash) {
            int order = Long.compareUnsigned(score(keyHash), other.score(keyHash));
            return order > 0 || order == 0 && member.incarnation().compareTo(other.member.incarnation()) > 0;
        }
    }

    private static final class Assignment {
        private final long keyHash;
        private Candidate owner;

        Assignment(long keyHash) {
            this.keyHash = keyHash;
        }

        void consider(Candidate candidate) {
            if (owner == null || candidate.scoresHigher(owner, keyHash)) {
                owner = candidate;
            }
        }
    }
}
