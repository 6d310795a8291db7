package org.heatherreach.tools;

import java.util.ArrayList;
import java.util.List;

/**
 * The status of all known daemons.
 *
 * @param daemons the status of every daemon that is a seed or that a daemon lists as neither dead nor left
 * @param gaps a line for each reason why daemons may be missing from the list; empty if there is none
 */
record FleetReport(List<DaemonStatus> daemons, List<String> gaps) {
    /** Returns whether every known daemon has itself reported the version or a newer one. */
    boolean isInForceEverywhere(long version) {
        return !daemons.isEmpty()
                && gaps.isEmpty()
                && daemons.stream().allMatch(daemon -> daemon.tableVersion() >= version);
    }

    /** Returns why the version is not known to be in force everywhere: a line for each such daemon, and the gaps. */
    List<String> pendingReasons(long version) {
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
