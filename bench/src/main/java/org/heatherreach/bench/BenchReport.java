package org.heatherreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Collects the rows of one run and writes them as JSON and as a readable table.
 * Confined to one thread.
 */
public final class BenchReport {
    private final long seed;
    private final List<BenchRow> rows = new ArrayList<>();
    private final Map<String, String> pages = new LinkedHashMap<>();
    private String benchmark = "";

    /** Creates an empty report for a run with the given seed. */
    public BenchReport(long seed) {
        this.seed = seed;
    }

    /** Sets the benchmark that later rows belong to. */
    public void begin(String benchmarkName) {
        benchmark = benchmarkName;
    }

    /** Adds a row. */
    public void add(String metric, String subject, String variant, double value, String unit) {
        rows.add(new BenchRow(benchmark, metric, subject, variant, value, unit));
    }

    /** Adds a page of text, which is written as a file of the given name. */
    public void addPage(String fileName, String text) {
        pages.put(fileName, text);
    }

    /** Returns the pages by file name. */
    public Map<String, String> pages() {
        return Map.copyOf(pages);
    }

    /** Returns the rows in the order in which they were added. */
    public List<BenchRow> rows() {
        return List.copyOf(rows);
    }

    /** Returns a table for reading. */
    public String summary() {
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "seed %d%n", seed));
        for (BenchRow row : rows) {
            text.append(String.format(
                    Locale.ROOT,
                    "%-12s %-40s %-24s %-10s %14.3f %s%n",
                    row.benchmark(),
                    row.metric(),
                    row.subject(),
                    row.variant(),
                    row.value(),
                    row.unit()));
        }
        return text.toString();
    }

    /**
     * Writes {@code results.json}, {@code summary.txt} and the pages into a directory.
     *
     * @throws BenchException if a file can't be written
     */
    public void write(Path directory) throws BenchException {
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        try {
            Files.createDirectories(directory);
            mapper.writeValue(directory.resolve("results.json").toFile(), Map.of("seed", seed, "rows", rows));
            Files.writeString(directory.resolve("summary.txt"), summary());
            for (Map.Entry<String, String> page : pages.entrySet()) {
                Files.writeString(directory.resolve(page.getKey()), page.getValue());
            }
        } catch (IOException e) {
            throw new BenchException("cannot write results to " + directory, e);
        }
    }
}
