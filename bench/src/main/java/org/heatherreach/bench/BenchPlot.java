package org.heatherreach.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/**
 * Draws the rows of a run: one chart for each metric, one bar for each subject and variant.
 * Immutable and safe for use by any thread.
 */
public final class BenchPlot {
    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 480;

    private final Map<String, List<BenchRow>> rowsByChart = new LinkedHashMap<>();

    /** Creates a plot of the given rows. */
    public BenchPlot(List<BenchRow> rows) {
        for (BenchRow row : rows) {
            String chart = (row.benchmark() + '-' + row.metric()).replaceAll("[^A-Za-z0-9]+", "-");
            rowsByChart.computeIfAbsent(chart, name -> new ArrayList<>()).add(row);
        }
    }

    /**
     * Writes one SVG file for each chart.
     *
     * @throws BenchException if a file can't be written
     */
    public void write(Path directory) throws BenchException {
        try {
            Path plots = Files.createDirectories(directory.resolve("plots"));
            for (Map.Entry<String, List<BenchRow>> chart : rowsByChart.entrySet()) {
                VectorGraphicsEncoder.saveVectorGraphic(
                        draw(chart.getValue()), plots.resolve(chart.getKey()).toString(), VectorGraphicsFormat.SVG);
            }
        } catch (IOException e) {
            throw new BenchException("cannot write plots to " + directory, e);
        }
    }

    private static CategoryChart draw(List<BenchRow> rows) {
        BenchRow first = rows.get(0);
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(first.metric())
                .xAxisTitle(first.benchmark())
                .yAxisTitle(first.unit())
                .build();
        chart.getStyler().setXAxisLabelRotation(30);
        Set<String> subjects = new LinkedHashSet<>();
        Set<String> variants = new LinkedHashSet<>();
        for (BenchRow row : rows) {
            subjects.add(row.subject());
            variants.add(row.variant());
        }
        for (String variant : variants) {
            chart.addSeries(variant, new ArrayList<>(subjects), values(rows, variant, subjects));
        }
        return chart;
    }

    private static List<Double> values(List<BenchRow> rows, String variant, Set<String> subjects) {
        List<Double> values = new ArrayList<>();
        for (String subject : subjects) {
            double value = 0;
            for (BenchRow row : rows) {
                if (row.variant().equals(variant) && row.subject().equals(subject)) {
                    value = row.value();
                }
            }
            values.add(value);
        }
        return values;
    }
}
