package org.heatherreach.coordination.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherreach.state.id.DaemonId;
import org.heatherreach.state.id.ServerId;
import org.heatherreach.state.id.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

class SlotSharesProperties {
    private static final ZoneId ZONE = new ZoneId("near");
    private static final ZoneId OTHER_ZONE = new ZoneId("far");

    // Guards against slots that two daemons or none regard as their share, and against a daemon with a smaller share
    // than
    // the others.
    @Property(seed = "2026120503", tries = 300)
    void dividesEverySlotEvenly(
            @ForAll @IntRange(min = 1, max = 150) int daemonCount,
            @ForAll @IntRange(min = 1, max = 60) int serverCount,
            @ForAll @IntRange(min = 1, max = 12) int slots) {
        List<DaemonId> daemons = daemons(daemonCount);
        List<PoolServer> servers = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            servers.add(server("s" + i, ZONE, slots));
            servers.add(server("t" + i, OTHER_ZONE, slots));
        }
        Map<ServerId, Integer> sums = new HashMap<>();
        TreeSet<Integer> sharesOfDaemons = new TreeSet<>();
        for (DaemonId daemon : daemons) {
            SlotShares shares = new SlotShares(ZONE);
            shares.replaceDaemons(daemon, daemons);
            shares.divide(servers);
            int own = 0;
            for (PoolServer server : servers) {
                sums.merge(server.id(), shares.slotsAt(server.id()), Integer::sum);
                own += shares.slotsAt(server.id());
            }
            sharesOfDaemons.add(own);
        }
        for (PoolServer server : servers) {
            assertThat(sums.get(server.id())).isEqualTo(server.zone().equals(ZONE) ? slots : 0);
        }
        assertThat(sharesOfDaemons.last() - sharesOfDaemons.first()).isLessThanOrEqualTo(1);
    }

    // Guards against a share of a daemon that is not listed, because it leaves or has not read the list yet.
    @Example
    void givesNoShareToAnUnlistedDaemon() {
        SlotShares shares = new SlotShares(ZONE);
        shares.divide(List.of(server("s", ZONE, 3)));
        assertThat(shares.slotsAt(new ServerId("s"))).isZero();
        shares.replaceDaemons(new DaemonId("unlisted"), daemons(3));
        shares.divide(List.of(server("s", ZONE, 3)));
        assertThat(shares.slotsAt(new ServerId("s"))).isZero();
    }

    private static List<DaemonId> daemons(int count) {
        List<DaemonId> daemons = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            daemons.add(new DaemonId("front-" + i));
        }
        return daemons;
    }

    private static PoolServer server(String id, ZoneId zone, int slots) {
        return new PoolServer(new ServerId(id), 1, zone, slots, 0);
    }
}
