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
        Map<String, Double> firstValues = new TreeMap<>();
        Map<String, Double> secondValues = new TreeMap<>();
        collect("", first, firstValues);
        collect("", second, secondValues);
        StringBuilder table = new StringBuilder();
        firstValues.forEach((name, value) -> {
            Double secondValue = secondValues.get(name);
            if (secondValue != null) {
                String ratio = value == 0 ? "-" : String.format(Locale.ROOT, "%.3f", secondValue / value);
                table.append(String.format(Locale.ROOT, "%-60s %14.3f %14.3f %10s%n", name, value, secondValue, ratio));
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
