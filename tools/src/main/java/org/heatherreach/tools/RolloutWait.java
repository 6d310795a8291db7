package org.heatherreach.tools;

import java.util.List;

/** Waits until a version is in force everywhere and tells the progress. Confined to the main thread. */
final class RolloutWait {
    private static final long POLL_MILLIS = 500;
    private static final int NAMES_SHOWN = 3;

    private final FleetClient fleet;
    private final ToolContext context;

    RolloutWait(FleetClient fleet, ToolContext context) {
        this.fleet = fleet;
        this.context = context;
    }

    /** Returns the last report, at the latest after the deadline. */
    FleetReport await(long version, long deadlineNanos) {
        String shown = "";
        while (true) {
            FleetReport report = fleet.report();
            boolean done = report.isInForceEverywhere(version);
            String line = describe(report, version);
            if (!line.equals(shown)) {
                context.progress(line);
                shown = line;
            }
            if (done || System.nanoTime() - deadlineNanos >= 0) {
                return report;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return report;
            }
        }
    }

    private static String describe(FleetReport report, long version) {
        List<String> missing = report.missing(version);
        long confirmed = report.daemons().stream()
                .filter(daemon -> daemon.tableVersion() >= version)
                .count();
        String line = "in force at " + confirmed + " of " + report.daemons().size() + " daemons";
        if (missing.isEmpty()) {
            return line;
        }
        String names = String.join("; ", missing.subList(0, Math.min(NAMES_SHOWN, missing.size())));
        int rest = missing.size() - NAMES_SHOWN;
        return line + ", waiting: " + names + (rest > 0 ? "; and " + rest + " more" : "");
    }
}
