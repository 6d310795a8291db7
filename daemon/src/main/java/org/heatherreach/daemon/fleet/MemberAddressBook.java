package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

import org.heatherreach.coordination.member.Member;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ServingGate;

/**
 * Lists live members of this daemon's region for callers: at most 17, drawn at random and taken from the zones in turn,
 * so that an answer survives the loss of a zone and callers spread over all daemons.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class MemberAddressBook implements AddressBook {
    /** Covers the entry VMs of a site of today, while an answer stays small in a large fleet. */
    static final int ADDRESS_LIMIT = 17;

    private final MemberDirectory directory;
    private final ServingGate gate;

    /** Creates a book over the member list. */
    public MemberAddressBook(MemberDirectory directory, ServingGate gate) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.gate = Objects.requireNonNull(gate, "gate");
    }

    @Override
    public List<DaemonAddress> addresses() {
        return select(ThreadLocalRandom.current());
    }

    List<DaemonAddress> select(Random random) {
        Member self = directory.self();
        Map<ZoneId, List<Member>> byZone = new LinkedHashMap<>();
        for (Member member : directory.view().live()) {
            boolean isSelf = member.incarnation().equals(self.incarnation());
            if (member.region().equals(self.region()) && (!isSelf || gate.isListed())) {
                byZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
            }
        }
        byZone.values().forEach(members -> Collections.shuffle(members, random));
        List<DaemonAddress> selected = new ArrayList<>();
        for (int turn = 0; selected.size() < ADDRESS_LIMIT && !byZone.isEmpty(); turn++) {
            int place = turn;
            byZone.values().removeIf(members -> members.size() <= place);
            for (List<Member> members : byZone.values()) {
                if (selected.size() < ADDRESS_LIMIT) {
                    selected.add(addressOf(members.get(place)));
                }
            }
        }
        return selected;
    }

    private static DaemonAddress addressOf(Member member) {
        return new DaemonAddress(member.daemon(), member.address().host(), member.callerPort(), member.zone());
    }
}
