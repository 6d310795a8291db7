package org.heatherreach.daemon.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

import io.vavr.control.Option;
import net.openhft.hashing.LongHashFunction;
import org.heatherreach.coordination.member.Member;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.id.ZoneId;
import org.heatherreach.transport.http.AddressBook;
import org.heatherreach.transport.http.DaemonAddress;
import org.heatherreach.transport.http.ServingGate;

/**
 * Lists live members of this daemon's region for callers: at most 17, taken from the zones in turn, so that an answer
 * survives the loss of a zone. For a caller that names its service they are chosen by rendezvous hash, so that the
 * requests of a service meet at few daemons and its slots are not split over a large fleet; otherwise they are drawn at
 * random. A fleet of up to 17 daemons is always listed as a whole. The order is random, so that callers spread.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class MemberAddressBook implements AddressBook {
    /** Covers the entry VMs of a site of today, so that such a site serves each service with all of them. */
    static final int ADDRESS_LIMIT = 17;

    private final MemberDirectory directory;
    private final ServingGate gate;

    /** Creates a book over the member list. */
    public MemberAddressBook(MemberDirectory directory, ServingGate gate) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.gate = Objects.requireNonNull(gate, "gate");
    }

    @Override
    public List<DaemonAddress> addresses(Option<ServiceId> service) {
        Random random = ThreadLocalRandom.current();
        LongHashFunction hash = LongHashFunction.xx3(
                service.map(id -> LongHashFunction.xx3().hashChars(id.value())).getOrElse(random::nextLong));
        List<DaemonAddress> selected = select(hash);
        Collections.shuffle(selected, random);
        return selected;
    }

    private List<DaemonAddress> select(LongHashFunction hash) {
        Map<ZoneId, List<Member>> byZone = new TreeMap<>();
        for (Member member : directory.view().live()) {
            if (isListed(member)) {
                byZone.computeIfAbsent(member.zone(), zone -> new ArrayList<>()).add(member);
            }
        }
        Comparator<Member> byScore = Comparator.comparingLong(
                member -> hash.hashLong(member.incarnation().value()));
        byZone.values().forEach(members -> members.sort(byScore));
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

    private boolean isListed(Member member) {
        Member self = directory.self();
        boolean isSelf = member.incarnation().equals(self.incarnation());
        return member.region().equals(self.region()) && (!isSelf || gate.isListed());
    }

    private static DaemonAddress addressOf(Member member) {
        return new DaemonAddress(member.daemon(), member.address().host(), member.callerPort(), member.zone());
    }
}
