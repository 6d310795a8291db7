package org.heatherreach.bench.trial;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads what a process has used, from the proc file system and from its metrics. Stateless. */
public final class ProcessUsage {
    private static final double TICKS_PER_SECOND = 100;
    private static final int USER_TICKS_FIELD = 11;
    private static final int SYSTEM_TICKS_FIELD = 12;

    private ProcessUsage() {}

    /**
     * Returns the processor time that a process has used.
     *
     * @throws IOException if the process does not exist
     */
    public static double cpuSeconds(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc", Long.toString(pid), "stat"));
        // The command name may hold spaces, so fields are counted from its closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
                / TICKS_PER_SECOND;
    }

    /**
     * Returns the resident memory of a process.
     *
     * @throws IOException if the process does not exist
     */
    public static double residentBytes(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) * 1024;
            }
        }
        throw new IOException("process " + pid + " reports no resident memory");
    }

    /**
     * Returns the sum of the samples of a metric whose labels hold the given text.
     *
     * @throws IOException if the daemon gives no metrics
     */
    public static double counter(String address, String metric, String label) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/heatherreach/metrics"))
                .build();
        try {
            String text = HttpClient.newHttpClient()
                    .send(request, HttpResponse.BodyHandlers.ofString())
                    .body();
            return text.lines()
                    .filter(line -> line.startsWith(metric) && line.contains(label))
                    .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
                    .sum();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
