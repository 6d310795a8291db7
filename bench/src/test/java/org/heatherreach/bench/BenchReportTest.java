package org.heatherreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class BenchReportTest {
    // Guards against results that a machine can't read back, and against charts that lose a variant.
    @Example
    void writesResultsAndCharts() throws IOException, BenchException {
        BenchReport report = new BenchReport(5);
        report.begin("sample");
        report.add("latency p99", "Caroni", "baseline", 2.5, "ms");
        report.add("latency p99", "Caroni", "product", 1.25, "ms");
        Path directory = Files.createTempDirectory("bench-report");
        report.write(directory);
        JsonNode results =
                new ObjectMapper().readTree(directory.resolve("results.json").toFile());
        assertThat(results.get("seed").asLong()).isEqualTo(5);
        assertThat(results.get("rows").get(1).get("value").asDouble()).isEqualTo(1.25);
        report.begin("single");
        report.add("latency p99", "Caroni", "product", 1.25, "ms");
        new BenchPlot(report.rows()).write(directory);
        // Text is drawn as outlines, so that variants can only be told apart by their colours.
        assertThat(colours(directory.resolve("plots/sample-latency-p99.svg")))
                .hasSize(colours(directory.resolve("plots/single-latency-p99.svg"))
                                .size()
                        + 1);
    }

    private static Set<String> colours(Path chart) throws IOException {
        Set<String> colours = new HashSet<>();
        Matcher matcher = Pattern.compile("fill:rgb\\([0-9,]+\\)").matcher(Files.readString(chart));
        while (matcher.find()) {
            colours.add(matcher.group());
        }
        return colours;
    }
}
