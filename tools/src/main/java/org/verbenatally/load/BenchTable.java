package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.policy.PolicySuite;

/** Results of a comparison of policies, with the ratios of the default policy to the best baseline. */
final class BenchTable {
    private static final String FORMAT = "%-30s %5s %6s %10s %11s %8s %8s %10s %8s %8s %8s%n";

    /**
     * Result of one run.
     * @param policy name of the policy suite
     * @param load offered load as a share of capacity
     * @param lagMs lag of the load reports, in milliseconds
     * @param stallSeconds total stall time of all streams, in seconds
     * @param preemptions number of preemptions on all engines
     * @param gap99Ms 99th percentile of the time between two tokens, in milliseconds
     * @param goodput tokens of completed responses, in tokens a second
     * @param refused number of rejected requests
     * @param urgentMet share of urgent streams within the latency levels; negative if there were none
     * @param urgentFirst95Ms 95th percentile of the time to the first token of urgent streams, in milliseconds
     */
    record Row(
            String policy,
            double load,
            long lagMs,
            double stallSeconds,
            long preemptions,
            double gap99Ms,
            double goodput,
            long refused,
            double urgentMet,
            double urgentFirst95Ms) {

        JsonObject toJson() {
            return new JsonObject()
                    .put("policy", policy)
                    .put("load", load)
                    .put("lagMs", lagMs)
                    .put("stallSeconds", stallSeconds)
                    .put("preemptions", preemptions)
                    .put("gap99Ms", gap99Ms)
                    .put("goodputTokensPerSecond", goodput)
                    .put("refused", refused)
                    .put("urgentMet", urgentMet)
                    .put("urgentFirst95Ms", urgentFirst95Ms);
        }
    }

    private final List<Row> rows = new ArrayList<>();

    synchronized void add(Row row) {
        rows.add(row);
        System.err.printf(Locale.ROOT, "bench: %s at %.2f, lag %d ms: done%n", row.policy(), row.load(), row.lagMs());
    }

    /** Prints the table and, as the last line, one JSON object. */
    void print(JsonObject settings) {
        System.out.printf(
                FORMAT,
                "policy",
                "load",
                "lag",
                "stall s",
                "preemptions",
                "gap p99",
                "goodput",
                "urgent met",
                "first95",
                "refused",
                "");
        JsonArray ratios = new JsonArray();
        for (List<Row> group : groups()) {
            group.forEach(this::print);
            group.stream()
                    .filter(r -> r.policy().equals(PolicySuite.DEFAULT))
                    .findFirst()
                    .ifPresent(defaultRow -> ratios.add(ratios(defaultRow, group)));
        }
        ratios.forEach(r -> System.out.println("ratio to best baseline: " + r));
        JsonArray all = new JsonArray();
        rows.forEach(r -> all.add(r.toJson()));
        System.out.println(new JsonObject()
                .put("settings", settings)
                .put("rows", all)
                .put("ratios", ratios)
                .encode());
    }

    private List<List<Row>> groups() {
        List<List<Row>> groups = new ArrayList<>();
        rows.sort(Comparator.comparingDouble(Row::load).thenComparingLong(Row::lagMs));
        for (Row row : rows) {
            boolean newGroup = groups.isEmpty()
                    || groups.getLast().getFirst().load() != row.load()
                    || groups.getLast().getFirst().lagMs() != row.lagMs();
            if (newGroup) {
                groups.add(new ArrayList<>());
            }
            groups.getLast().add(row);
        }
        return groups;
    }

    private void print(Row row) {
        System.out.printf(
                FORMAT,
                row.policy(),
                text("%.2f", row.load()),
                row.lagMs(),
                text("%.1f", row.stallSeconds()),
                row.preemptions(),
                text("%.1f", row.gap99Ms()),
                text("%.0f", row.goodput()),
                text("%.4f", row.urgentMet()),
                text("%.0f", row.urgentFirst95Ms()),
                row.refused(),
                "");
    }

    private static String text(String format, double value) {
        return String.format(Locale.ROOT, format, value);
    }

    /**
     * Returns each metric of the default policy divided by that of the best baseline. Suites that use this
     * system's estimates are not baselines.
     */
    private static JsonObject ratios(Row defaultRow, List<Row> group) {
        List<Row> baselines = group.stream()
                .filter(r -> !r.policy().equals(PolicySuite.DEFAULT) && !PolicySuite.usesCorrectedLoad(r.policy()))
                .toList();
        return new JsonObject()
                .put("load", defaultRow.load())
                .put("lagMs", defaultRow.lagMs())
                .put("stall", ratio(defaultRow, baselines, Row::stallSeconds, 1))
                .put("preemptions", ratio(defaultRow, baselines, r -> r.preemptions(), 1))
                .put("gap99", ratio(defaultRow, baselines, Row::gap99Ms, 1))
                .put("goodput", ratio(defaultRow, baselines, Row::goodput, -1));
    }

    private static Double ratio(Row defaultRow, List<Row> baselines, ToDoubleFunction<Row> metric, int sign) {
        Optional<Row> best = baselines.stream().min(Comparator.comparingDouble(r -> sign * metric.applyAsDouble(r)));
        double bestValue = best.map(metric::applyAsDouble).orElse(0.0);
        return bestValue == 0 ? null : Math.round(1000 * metric.applyAsDouble(defaultRow) / bestValue) / 1000.0;
    }
}
