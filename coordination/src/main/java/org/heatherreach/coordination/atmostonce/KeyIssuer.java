package org.heatherreach.coordination.atmostonce;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.coordination.member.MemberAddress;
import org.heatherreach.coordination.member.MemberState;
import org.heatherreach.coordination.member.MemberView;

/**
 * Issues execution keys. Sequences ascend and all keys have the same lifetime, so a key never expires before a key with
 * a smaller sequence; {@link WitnessRecords} relies on this. Confined to one thread.
 */
public final class KeyIssuer {
    private static final int RANDOM_DRAWS = 32;

    private final Member self;
    private final ExecutionLimits limits;
    private final RandomGenerator random;
    private long sequence;

    /** Creates an issuer for one daemon incarnation. */
    public KeyIssuer(Member self, ExecutionLimits limits, RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Issues a key with one witness in this daemon's zone and one in another zone of its region. If there is no such
     * member, any other member of the region is chosen instead, or else any other member of the fleet.
     *
     * @return the key; empty if fewer than two other members are alive
     */
    public Optional<ExecutionKey> issue(MemberView members, long nowNanos) {
        List<Member> liveMembers = members.live();
        List<Member> witnesses = new ArrayList<>(2);
        addWitness(liveMembers, witnesses, this::isInOwnZone);
        addWitness(liveMembers, witnesses, this::isInOtherZoneOfRegion);
        while (witnesses.size() < 2) {
            int witnessesBefore = witnesses.size();
            addWitness(liveMembers, witnesses, member -> member.region().equals(self.region()));
            if (witnesses.size() == witnessesBefore) {
                addWitness(liveMembers, witnesses, member -> true);
            }
            if (witnesses.size() == witnessesBefore) {
                return Optional.empty();
            }
        }
        return Optional.of(new ExecutionKey(
                self.incarnation(),
                new MemberAddress(self.address().host(), self.callerPort()),
                witnesses.get(0).incarnation(),
                witnesses.get(1).incarnation(),
                ++sequence,
                nowNanos + limits.keyLifetimeNanos()));
    }

    private boolean isInOwnZone(Member member) {
        return member.zone().equals(self.zone()) && member.region().equals(self.region());
    }

    private boolean isInOtherZoneOfRegion(Member member) {
        return !member.zone().equals(self.zone()) && member.region().equals(self.region());
    }

    /**
     * Adds one eligible member that meets the condition, if there is one. Members are drawn at random first, which
     * costs little; all members are scanned only if no drawn member qualifies.
     */
    private void addWitness(List<Member> liveMembers, List<Member> witnesses, Predicate<Member> condition) {
        if (witnesses.size() == 2 || liveMembers.isEmpty()) {
            return;
        }
        int scanStart = random.nextInt(liveMembers.size());
        for (int i = 0; i < RANDOM_DRAWS + liveMembers.size(); i++) {
            Member member = liveMembers.get(
                    i < RANDOM_DRAWS ? random.nextInt(liveMembers.size()) : (scanStart + i) % liveMembers.size());
            boolean eligible = member.state() == MemberState.ALIVE
                    && !member.incarnation().equals(self.incarnation())
                    && !witnesses.contains(member);
            if (eligible && condition.test(member)) {
                witnesses.add(member);
                return;
            }
        }
    }
}
