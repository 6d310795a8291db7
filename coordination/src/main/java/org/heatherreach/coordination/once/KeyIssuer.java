package org.heatherreach.coordination.once;

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
 * Issues execution keys. The sequence ascends, and all keys live equally long, so a larger sequence never expires
 * earlier; witnesses rely on that. Confined to one thread.
 */
public final class KeyIssuer {
    private static final int DRAWS = 32;

    private final Member self;
    private final OnceLimits limits;
    private final RandomGenerator random;
    private long sequence;

    /** Creates an issuer for a process start. */
    public KeyIssuer(Member self, OnceLimits limits, RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Issues a key with one witness in the own zone and one in another zone of the region. Where a zone has no other
     * member, any member of the region, then of the fleet, takes its place.
     *
     * @return the key; empty if fewer than two other members are alive
     */
    public Optional<ExecutionKey> issue(MemberView members, long nowNanos) {
        List<Member> live = members.live();
        List<Member> chosen = new ArrayList<>(2);
        choose(live, chosen, this::isNear);
        choose(live, chosen, this::isFar);
        while (chosen.size() < 2) {
            int before = chosen.size();
            choose(live, chosen, member -> member.region().equals(self.region()));
            if (chosen.size() == before) {
                choose(live, chosen, member -> true);
            }
            if (chosen.size() == before) {
                return Optional.empty();
            }
        }
        return Optional.of(new ExecutionKey(
                self.incarnation(),
                new MemberAddress(self.address().host(), self.callerPort()),
                chosen.get(0).incarnation(),
                chosen.get(1).incarnation(),
                ++sequence,
                nowNanos + limits.keyLifeNanos()));
    }

    private boolean isNear(Member member) {
        return member.zone().equals(self.zone()) && member.region().equals(self.region());
    }

    private boolean isFar(Member member) {
        return !member.zone().equals(self.zone()) && member.region().equals(self.region());
    }

    /** Adds one suitable member. Random draws keep the cost low; a scan follows only if they find none. */
    private void choose(List<Member> live, List<Member> chosen, Predicate<Member> suitable) {
        if (chosen.size() == 2 || live.isEmpty()) {
            return;
        }
        int from = random.nextInt(live.size());
        for (int i = 0; i < DRAWS + live.size(); i++) {
            Member member = live.get(i < DRAWS ? random.nextInt(live.size()) : (from + i) % live.size());
            boolean usable = member.state() == MemberState.ALIVE
                    && !member.incarnation().equals(self.incarnation())
                    && !chosen.contains(member);
            if (usable && suitable.test(member)) {
                chosen.add(member);
                return;
            }
        }
    }
}
