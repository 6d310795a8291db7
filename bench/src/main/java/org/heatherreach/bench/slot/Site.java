package org.heatherreach.bench.slot;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;
import org.heatherreach.state.table.RankLimits;
import org.heatherreach.state.table.ServiceLimits;

/**
 * One service of a site of section 1.1 of the design page. Immutable.
 *
 * @param name site and service
 * @param zoneDelayNanos one-way latency between zones
 * @param servers the number of servers
 * @param slots the slots of a server
 * @param connections the connections of a server
 */
record Site(String name, long zoneDelayNanos, int servers, int slots, int connections) {
    static final int DAEMONS = 15;
    static final int ZONES = 3;

    /** One-way latency within a zone. */
    static final long LOCAL_DELAY_NANOS = 100_000;

    static final List<Site> ALL = List.of(
            new Site("caroni/benchdesk", 500_000, 14, 3, 330),
            new Site("caroni/patternhall", 500_000, 10, 3, 330),
            new Site("tokachi/certdesk", 1_000_000, 20, 2, 390),
            new Site("tokachi/sheetvault", 1_000_000, 13, 2, 390));

    int totalSlots() {
        return servers * slots;
    }

    long delayNanos(int fromZone, int toZone) {
        return fromZone == toZone ? LOCAL_DELAY_NANOS : zoneDelayNanos;
    }

    ServiceLimits limits() {
        return new ServiceLimits(new ServiceId(name.substring(name.indexOf('/') + 1)), 60, slots, connections, 10);
    }

    static Map<Rank, RankLimits> rankLimits() {
        Map<Rank, RankLimits> ranks = new EnumMap<>(Rank.class);
        ranks.put(Rank.URGENT, new RankLimits(Rank.URGENT, 1, 40, 32, 2_000));
        ranks.put(Rank.STANDARD, new RankLimits(Rank.STANDARD, 1, 25, 32, 5_000));
        ranks.put(Rank.BULK, new RankLimits(Rank.BULK, 1, 15, 64, 20_000));
        return ranks;
    }
}
