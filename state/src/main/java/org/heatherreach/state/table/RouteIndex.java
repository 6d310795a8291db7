package org.heatherreach.state.table;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

import io.vavr.control.Option;
import org.heatherreach.state.id.ServiceId;
import org.heatherreach.state.rank.Rank;

/**
 * Finds the longest matching prefix of a path. Immutable and safe for use by any thread.
 *
 * <p>Prefixes are sorted. Each has a parent, the longest other prefix that it starts with. The matches of a path are
 * the greatest prefix not greater than the path or ancestors of it, so a lookup is one binary search followed by a few
 * steps from parent to parent.
 */
final class RouteIndex {
    private static final byte NO_RANK = -1;
    private static final Rank[] RANKS = Rank.values();

    private final SortedNames prefixes;
    private final int[] parents;
    private final short[] serviceIndexes;
    private final byte[] ranks;
    private final List<ServiceId> services;

    /** Creates an index of routes to at most 32,767 services, a limit that {@link TableBuilder} enforces. */
    RouteIndex(SortedMap<String, RouteRow> routes, List<ServiceId> services) {
        prefixes = new SortedNames(List.copyOf(routes.keySet()));
        this.services = services;
        int size = routes.size();
        parents = new int[size];
        serviceIndexes = new short[size];
        ranks = new byte[size];
        int index = 0;
        for (Map.Entry<String, RouteRow> route : routes.entrySet()) {
            int parent = index - 1;
            while (parent >= 0 && !route.getKey().startsWith(prefixes.get(parent))) {
                parent = parents[parent];
            }
            parents[index] = parent;
            serviceIndexes[index] =
                    (short) Collections.binarySearch(services, route.getValue().service());
            ranks[index] =
                    route.getValue().rank().map(rank -> (byte) rank.ordinal()).getOrElse(NO_RANK);
            index++;
        }
    }

    int size() {
        return prefixes.size();
    }

    Route get(int index) {
        return new Route(
                prefixes.get(index),
                services.get(serviceIndexes[index]),
                ranks[index] == NO_RANK ? Option.none() : Option.of(RANKS[ranks[index]]));
    }

    /** Returns the index of the route of a path, or -1. A query after the path is ignored. */
    int find(CharSequence path) {
        int end = 0;
        while (end < path.length() && path.charAt(end) != '?' && path.charAt(end) != '#') {
            end++;
        }
        int candidate = prefixes.floor(path, end);
        while (candidate >= 0 && !matches(candidate, path, end)) {
            candidate = parents[candidate];
        }
        return candidate;
    }

    private boolean matches(int index, CharSequence path, int end) {
        int length = prefixes.length(index);
        return prefixes.isPrefix(index, path, end)
                && (length == end || prefixes.lastChar(index) == '/' || path.charAt(length) == '/');
    }

    /** The service and rank of a route row. */
    record RouteRow(ServiceId service, Option<Rank> rank) {}
}
