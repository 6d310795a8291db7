package org.heatherreach.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.heatherreach.bench.BenchException;
import org.heatherreach.bench.BenchReport;
import org.heatherreach.bench.Benchmark;
import org.heatherreach.bench.trial.ProcessUsage;
import org.heatherreach.bench.trial.TrialFleet;

/**
 * Measures what an idle daemon costs as a real process, by the number of daemons on this machine. Confined to one
 * thread.
 */
public final class ProcessCostBenchmark implements Benchmark {
    private static final int[] SIZES = {3, 6, 9, 12};
    private static final long WARM_MILLIS = TimeUnit.SECONDS.toMillis(6);
    private static final long MEASURE_MILLIS = TimeUnit.SECONDS.toMillis(10);

    @Override
    public String name() {
        return "processcost";
    }

    @Override
    public String description() {
        return "processor time, resident memory and peer traffic of an idle daemon process";
    }

    @Override
    public void run(long seed, BenchReport report) throws BenchException {
        for (int daemons : SIZES) {
            try {
                measure(daemons, report);
            } catch (IOException e) {
                throw new BenchException("the processes could not be measured", e);
            }
        }
    }

    private static void measure(int count, BenchReport report) throws IOException {
        Path directory = Files.createTempDirectory("heatherreach-processcost");
        try (TrialFleet fleet = new TrialFleet(directory)) {
            fleet.startStore();
            fleet.startBackends("benchdesk", 2, 3, 330);
            fleet.startDaemons(count, 3);
            fleet.applyTable(3, 330);
            sleep(WARM_MILLIS);
            List<TrialFleet.Daemon> daemons = fleet.daemons();
            double cpuSeconds = 0;
            double sentBytes = 0;
            double residentBytes = 0;
            for (TrialFleet.Daemon daemon : daemons) {
                cpuSeconds -= ProcessUsage.cpuSeconds(daemon.process().pid());
                sentBytes -= ProcessUsage.counter(daemon.address(), "heatherreach_peer_bytes_total", "sent");
            }
            long startNanos = System.nanoTime();
            sleep(MEASURE_MILLIS);
            double seconds = (System.nanoTime() - startNanos) / 1e9;
            for (TrialFleet.Daemon daemon : daemons) {
                cpuSeconds += ProcessUsage.cpuSeconds(daemon.process().pid());
                sentBytes += ProcessUsage.counter(daemon.address(), "heatherreach_peer_bytes_total", "sent");
                residentBytes += ProcessUsage.residentBytes(daemon.process().pid());
            }
            String subject = count + " daemons";
            report.add("idle processor time", subject, "product", 100 * cpuSeconds / seconds / count, "% of a core");
            report.add("resident memory", subject, "product", residentBytes / count / 1e6, "MB");
            report.add("bytes sent to peers", subject, "product", sentBytes / seconds / count, "B/s");
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
