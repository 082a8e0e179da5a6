package org.verbenatally.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the results of a run as PNG files. */
final class Plots {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 600;

    private Plots() {}

    /** Plots latency in milliseconds on a logarithmic axis, by percentile. */
    static void latency(Map<String, List<double[]>> curves, Path file) throws IOException {
        XYChart chart = chart("Latency from the intended send time", "percentile", "ms");
        chart.getStyler().setYAxisLogarithmic(true);
        curves.forEach((name, points) -> chart.addSeries(
                        name,
                        points.stream().mapToDouble(p -> p[0]).toArray(),
                        points.stream().mapToDouble(p -> p[1]).toArray())
                .setMarker(SeriesMarkers.NONE));
        save(chart, file);
    }

    /** Plots the requests that arrived and ended, and the stall time, for each second of the run. */
    static void timeline(List<RequestRow> rows, long startNanos, Path file) throws IOException {
        XYChart chart = chart("Requests", "second", "per second");
        TreeMap<Integer, Double> arrived = new TreeMap<>();
        TreeMap<Integer, Double> ended = new TreeMap<>();
        TreeMap<Integer, Double> stall = new TreeMap<>();
        for (RequestRow row : rows) {
            int second = (int) (row.intendedNanos() / 1_000_000_000);
            arrived.merge(second, 1.0, Double::sum);
            ended.merge((int) ((row.endNanos() - startNanos) / 1_000_000_000), 1.0, Double::sum);
            stall.merge(second, row.stallNanos() / 1e9, Double::sum);
        }
        add(chart, "arrived", arrived);
        add(chart, "ended", ended);
        add(chart, "stall seconds by arrival", stall);
        save(chart, file);
    }

    private static void add(XYChart chart, String name, TreeMap<Integer, Double> values) {
        if (!values.isEmpty()) {
            chart.addSeries(
                            name,
                            values.keySet().stream()
                                    .mapToDouble(Integer::doubleValue)
                                    .toArray(),
                            values.values().stream()
                                    .mapToDouble(Double::doubleValue)
                                    .toArray())
                    .setMarker(SeriesMarkers.NONE);
        }
    }

    private static XYChart chart(String title, String x, String y) {
        System.setProperty("java.awt.headless", "true");
        return new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
    }

    private static void save(XYChart chart, Path file) throws IOException {
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
