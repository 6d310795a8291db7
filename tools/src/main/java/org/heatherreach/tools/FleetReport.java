package org.heatherreach.tools;

import java.util.List;

/**
 * What all known daemons report.
 *
 * @param daemons every daemon that is a seed, a member in the view of another daemon, or a live VM
 * @param problem why the list may be incomplete, empty if it is complete
 */
record FleetReport(List<DaemonStatus> daemons, String problem) {
    /** Returns whether every known daemon has itself reported the version or a newer one. */
    boolean isInForceEverywhere(long version) {
        return !daemons.isEmpty()
                && problem.isEmpty()
                && daemons.stream().allMatch(daemon -> daemon.tableVersion() >= version);
    }

    /** Returns a line for each daemon that has not reported the version. */
    List<String> missing(long version) {
        List<String> lines = new java.util.ArrayList<>();
        daemons.stream()
                .filter(daemon -> daemon.tableVersion() < version)
                .map(daemon -> daemon.daemon() + " at " + daemon.address()
                        + (daemon.isReachable() ? " has version " + daemon.tableVersion() : " does not answer"))
                .forEach(lines::add);
        if (!problem.isEmpty()) {
            lines.add(problem);
        }
        return lines;
    }
}
