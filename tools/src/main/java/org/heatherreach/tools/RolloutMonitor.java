package org.heatherreach.tools;

import java.util.List;

/** Polls the daemons until a version is in force everywhere, and prints the progress. Confined to the main thread. */
final class RolloutMonitor {
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final int MAX_REASONS_SHOWN = 3;

    private final FleetClient fleet;
    private final ToolContext context;

    RolloutMonitor(FleetClient fleet, ToolContext context) {
        this.fleet = fleet;
        this.context = context;
    }

    /** Waits until the version is in force everywhere or the deadline has passed, and returns the last report. */
    FleetReport await(long version, long deadlineNanos) {
        String lastLine = "";
        while (true) {
            FleetReport report = fleet.collectReport();
            boolean done = report.isInForceEverywhere(version);
            String line = describe(report, version);
            if (!line.equals(lastLine)) {
                context.printProgress(line);
                lastLine = line;
            }
            if (done || System.nanoTime() - deadlineNanos >= 0) {
                return report;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return report;
            }
        }
    }

    private static String describe(FleetReport report, long version) {
        List<String> pendingReasons = report.pendingReasons(version);
        long confirmed = report.daemons().stream()
                .filter(daemon -> daemon.tableVersion() >= version)
                .count();
        String line = "in force at " + confirmed + " of " + report.daemons().size() + " daemons";
        if (pendingReasons.isEmpty()) {
            return line;
        }
        String shownReasons =
                String.join("; ", pendingReasons.subList(0, Math.min(MAX_REASONS_SHOWN, pendingReasons.size())));
        int omittedCount = pendingReasons.size() - MAX_REASONS_SHOWN;
        return line + ", waiting: " + shownReasons + (omittedCount > 0 ? "; and " + omittedCount + " more" : "");
    }
}
