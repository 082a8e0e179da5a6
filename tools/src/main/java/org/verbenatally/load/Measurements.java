package org.verbenatally.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.verbenatally.core.Outcome;

/** Measurements of a group of requests. Times are measured from the intended send time. Not thread-safe. */
final class Measurements {
    /** Latency levels of the design, for the time to the first token and the time between two tokens. */
    static final long FIRST_TOKEN_NANOS = 480_000_000;

    static final long TOKEN_GAP_NANOS = 54_000_000;

    private static final long MAX_LATENCY_MICROS = 7_200_000_000L;

    private final Histogram firstToken = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram tokenGap = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Histogram responseTime = new Histogram(MAX_LATENCY_MICROS, 3);
    private final Map<String, Long> counts = new TreeMap<>();
    private long streams;
    private long withinLevels;
    private long stallNanos;
    private long tokens;
    private long goodputTokens;

    /** Adds the result of a request. */
    void add(RequestRow row, long[] tokenNanos, long intendedNanos) {
        count("requests");
        count(row.outcome());
        counts.merge("violations", (long) row.violations(), Long::sum);
        counts.merge("resumes", (long) row.resumes(), Long::sum);
        counts.merge("copies", (long) row.copies(), Long::sum);
        tokens += row.tokens();
        stallNanos += row.stallNanos();
        if (row.outcome().equals(Outcome.DONE.text())) {
            goodputTokens += row.tokens();
            if (!row.stream()) {
                record(responseTime, row.endNanos() - intendedNanos);
            }
        }
        if (row.stream() && row.tokens() > 0) {
            streams++;
            record(firstToken, tokenNanos[0] - intendedNanos);
            for (int i = 1; i < tokenNanos.length; i++) {
                record(tokenGap, tokenNanos[i] - tokenNanos[i - 1]);
            }
            withinLevels += row.withinLevels() ? 1 : 0;
        }
    }

    private void count(String name) {
        counts.merge(name, 1L, Long::sum);
    }

    private static void record(Histogram histogram, long nanos) {
        histogram.recordValue(Math.clamp(nanos / 1_000, 0, MAX_LATENCY_MICROS));
    }

    /**
     * Returns the part of the summary that describes this group.
     *
     * @param seconds measured time, in seconds
     */
    JsonObject toJson(double seconds) {
        return new JsonObject()
                .put("requests", counts.getOrDefault("requests", 0L))
                .put("done", counts.getOrDefault(Outcome.DONE.text(), 0L))
                .put("notRun", counts.getOrDefault(Outcome.NOT_RUN.text(), 0L))
                .put("unknown", counts.getOrDefault(Outcome.UNKNOWN.text(), 0L))
                .put("unfinished", counts.getOrDefault(RequestRow.UNFINISHED, 0L))
                .put("violations", counts.getOrDefault("violations", 0L))
                .put("copies", counts.getOrDefault("copies", 0L))
                .put("resumes", counts.getOrDefault("resumes", 0L))
                .put("firstTokenMs", percentiles(firstToken))
                .put("tokenGapMs", percentiles(tokenGap))
                .put("answerMs", percentiles(responseTime))
                .put("streams", streams)
                .put("withinLevels", streams == 0 ? 1 : (double) withinLevels / streams)
                .put("stallSeconds", stallNanos / 1e9)
                .put("tokens", tokens)
                .put("goodputTokensPerSecond", goodputTokens / seconds)
                .put("goodputRequestsPerSecond", counts.getOrDefault(Outcome.DONE.text(), 0L) / seconds);
    }

    private static JsonObject percentiles(Histogram histogram) {
        JsonObject values = new JsonObject().put("count", histogram.getTotalCount());
        for (double percentile : new double[] {50, 95, 99}) {
            values.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / 1e3);
        }
        return values.put("max", histogram.getMaxValue() / 1e3);
    }

    /**
     * Returns the distributions of first-token latency and token gap for a plot, as pairs of percentile and
     * milliseconds.
     */
    Map<String, List<double[]>> latencyCurves() {
        Map<String, List<double[]>> curves = new TreeMap<>();
        Map.of("first token", firstToken, "token gap", tokenGap).forEach((name, histogram) -> {
            List<double[]> points = new ArrayList<>();
            for (double percentile = 1; percentile <= 99.9; percentile += percentile < 99 ? 1 : 0.1) {
                points.add(new double[] {percentile, Math.max(0.1, histogram.getValueAtPercentile(percentile) / 1e3)});
            }
            if (histogram.getTotalCount() > 0) {
                curves.put(name, points);
            }
        });
        return curves;
    }
}
