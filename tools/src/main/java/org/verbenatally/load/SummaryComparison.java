package org.verbenatally.load;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;

/** Compares two summaries member by member. */
public final class SummaryComparison {
    private SummaryComparison() {}

    /**
     * Returns a table with a line for each number that both summaries have: name, first, second, and second divided by
     * first.
     *
     * @param first the baseline
     * @param second the summary to compare with the baseline
     */
    public static String table(JsonObject first, JsonObject second) {
        Map<String, Double> before = new TreeMap<>();
        Map<String, Double> after = new TreeMap<>();
        collect("", first, before);
        collect("", second, after);
        StringBuilder table = new StringBuilder();
        before.forEach((name, value) -> {
            Double other = after.get(name);
            if (other != null) {
                String ratio = value == 0 ? "-" : String.format(Locale.ROOT, "%.3f", other / value);
                table.append(String.format(Locale.ROOT, "%-60s %14.3f %14.3f %10s%n", name, value, other, ratio));
            }
        });
        return table.toString();
    }

    private static void collect(String path, JsonObject json, Map<String, Double> values) {
        for (Map.Entry<String, Object> member : json) {
            String name = path.isEmpty() ? member.getKey() : path + "." + member.getKey();
            if (member.getValue() instanceof JsonObject group) {
                collect(name, group, values);
            } else if (member.getValue() instanceof Number number) {
                values.put(name, number.doubleValue());
            }
        }
    }
}
