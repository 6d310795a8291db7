package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

/**
 * What all known daemons report.
 *
 * @param daemons every daemon that is a seed or a member in the view of another daemon
 * @param gaps why the list may be incomplete, a line each; none if it is complete
 */
record FleetReport(List<DaemonStatus> daemons, List<String> gaps) {
    /** Returns whether every known daemon has itself reported the version or a newer one. */
    boolean isInForceEverywhere(long version) {
        return !daemons.isEmpty()
                && gaps.isEmpty()
                && daemons.stream().allMatch(daemon -> daemon.tableVersion() >= version);
    }

    /** Returns a line for each daemon that has not reported the version. */
    List<String> missing(long version) {
        List<String> lines = new ArrayList<>();
        daemons.stream()
                .filter(daemon -> daemon.tableVersion() < version)
                .map(daemon -> daemon.daemon() + " at " + daemon.address()
                        + (daemon.isReachable() ? " has version " + daemon.tableVersion() : " does not answer"))
                .forEach(lines::add);
        lines.addAll(gaps);
        return lines;
    }
}
