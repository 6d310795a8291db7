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
 * Assigns each service part of a region to one live member of that region, and picks the readers of the table, by
 * rendezvous hash: every daemon with the same members arrives at the same result, and a member that comes or goes
 * moves only its own parts.
 *
 * <p>The score uses the daemon's name, so a daemon that restarts gets its parts back instead of moving them twice.
 * Owners are remembered per part. A new member costs one hash per remembered part; a lost one only forgets the parts
 * that it owned. Confined to one thread.
 */
public final class OwnerMap {
    /** Number of daemons per region that watch the table in the store. */
    public static final int READERS = 3;

    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final long READER_HASH = HASH.hashChars("table-reader");

    private final Map<RegionId, Map<IncarnationId, Candidate>> regions = new HashMap<>();
    private final Map<PartId, Owned> owners = new HashMap<>();

    /** Takes the new state of a member: live ones can own parts, others can't. Repeated calls have no effect. */
    public void change(Member member) {
        Map<IncarnationId, Candidate> region = regions.computeIfAbsent(member.region(), ignored -> new HashMap<>());
        if (!member.state().isLive()) {
            if (region.remove(member.incarnation()) != null) {
                owners.values()
                        .removeIf(owned -> owned.owner.member.incarnation().equals(member.incarnation()));
            }
            return;
        }
        Candidate before = region.get(member.incarnation());
        if (before != null) {
            before.member = member;
            return;
        }
        Candidate added = new Candidate(member);
        region.put(member.incarnation(), added);
        owners.forEach((part, owned) -> {
            if (part.region().equals(member.region())) {
                owned.offer(added);
            }
        });
    }

    /** Returns the owner of a part; empty if its region has no live member. */
    public Optional<Member> owner(PartId part) {
        Owned owned = owners.get(part);
        if (owned == null) {
            owned = new Owned(HASH.hashChars(part.toString()));
            for (Candidate candidate :
                    regions.getOrDefault(part.region(), Map.of()).values()) {
                owned.offer(candidate);
            }
            if (owned.owner == null) {
                return Optional.empty();
            }
            owners.put(part, owned);
        }
        return Optional.of(owned.owner.member);
    }

    /** Forgets a part that no longer exists. */
    public void remove(PartId part) {
        owners.remove(part);
    }

    /** Returns the readers of the table in a region, at most {@link #READERS}, in falling order of their scores. */
    public List<Member> readers(RegionId region) {
        List<Candidate> best = new ArrayList<>(READERS + 1);
        for (Candidate candidate : regions.getOrDefault(region, Map.of()).values()) {
            int place = best.size();
            while (place > 0 && candidate.beats(best.get(place - 1), READER_HASH)) {
                place--;
            }
            if (place < READERS) {
                best.add(place, candidate);
                if (best.size() > READERS) {
                    best.remove(READERS);
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

        /** Two incarnations of one daemon have equal scores until the older one is removed. */
        boolean beats(Candidate other, long keyHash) {
            int order = Long.compareUnsigned(score(keyHash), other.score(keyHash));
            return order > 0 || order == 0 && member.incarnation().compareTo(other.member.incarnation()) > 0;
        }
    }

    private static final class Owned {
        private final long keyHash;
        private Candidate owner;

        Owned(long keyHash) {
            this.keyHash = keyHash;
        }

        void offer(Candidate candidate) {
            if (owner == null || candidate.beats(owner, keyHash)) {
                owner = candidate;
            }
        }
    }
}
