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
 * Lists live members of this daemon's region for callers: at most 17, taken from the zones in turn, so that a list
 * remains usable after the loss of a zone. For a caller that names its service they are chosen by rendezvous hash, so
 * that few daemons get the requests of a service and its slots are not split over a large fleet; otherwise they are
 * chosen at random. A fleet of up to 17 daemons is always listed completely. The order is random, to balance the
 * callers.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class MemberAddressBook implements AddressBook {
    /** Covers the entry VMs of a present-day site, so that such a site serves each service with all of them. */
    static final int ADDRESS_LIMIT = 17;

    private final MemberDirectory directory;
    private final ServingGate gate;

    /** Creates an address book of the members in the directory. */
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
        for (int round = 0; selected.size() < ADDRESS_LIMIT && !byZone.isEmpty(); round++) {
            int position = round;
            byZone.values().removeIf(members -> members.size() <= position);
            for (List<Member> members : byZone.values()) {
                if (selected.size() < ADDRESS_LIMIT) {
                    selected.add(addressOf(members.get(position)));
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
