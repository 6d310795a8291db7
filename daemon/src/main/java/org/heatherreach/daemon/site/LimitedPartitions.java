package org.heatherreach.daemon.site;

import java.util.Objects;
import java.util.function.IntPredicate;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.heatherreach.coordination.quota.QuotaPartitions;
import org.heatherreach.state.route.RoutingTable;

/**
 * The partitions that have a limited workspace in the routing table in use. Safe for use by any thread; the result is
 * computed once for each table.
 */
final class LimitedPartitions implements IntPredicate {
    private final Supplier<Option<RoutingTable>> table;
    private final QuotaPartitions partitions;
    private volatile Limited limited = new Limited(null, new boolean[0]);

    LimitedPartitions(Supplier<Option<RoutingTable>> table, QuotaPartitions partitions) {
        this.table = Objects.requireNonNull(table, "table");
        this.partitions = Objects.requireNonNull(partitions, "partitions");
    }

    /** Returns whether a partition has a limited workspace. */
    @Override
    public boolean test(int partition) {
        RoutingTable current = table.get().getOrNull();
        if (current == null) {
            return false;
        }
        Limited known = limited;
        if (known.table != current) {
            known = new Limited(current, new boolean[partitions.count()]);
            for (var workspace : current.workspaces().workspaces()) {
                if (workspace.quota().isLimited()) {
                    known.partitions[partitions.of(workspace.id())] = true;
                }
            }
            limited = known;
        }
        return known.partitions[partition];
    }

    private record Limited(RoutingTable table, boolean[] partitions) {}
}
