package org.verbenatally.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Use of the error budget, summed over the entries that responded. Each entry keeps its counts in memory only, so the
 * report states how long each entry has been counting and which entries could not be queried.
 *
 * @param objective fraction of requests that must meet the service levels
 * @param kinds one row for each kind and window, sorted by both
 * @param organisations one row for each organisation over the last hour, most missed requests first
 * @param sources one line for each entry that responded
 * @param failures one line with address and reason for each entry that could not be queried
 */
record BurnReport(
        double objective, List<Row> kinds, List<Row> organisations, List<String> sources, List<String> failures) {
    private static final double DEFAULT_OBJECTIVE = 0.95;
    private static final int BUDGET_DAYS = 30;
    /** Burn rate that uses up 2% of a 30-day budget within one hour; the usual threshold for paging. */
    private static final double FAST_BURN_RATE = 14.4;
    /** Burn rate that uses up 5% of a 30-day budget within six hours; the usual threshold for a ticket. */
    private static final double SLOW_BURN_RATE = 6;

    /** Keys of the counts of missed requests, in the order of {@link Row#missedByCause}. */
    private static final String[] CAUSES = {"late", "stalled", "refused", "lost"};

    /**
     * Counts of one kind or organisation in one window.
     *
     * @param name kind or organisation
     * @param minutes length of the window in minutes
     * @param requests number of requests in the window
     * @param missedByCause requests that missed the service levels, by cause: late, stalled, refused, lost
     * @param burnRate burn rate; 1 uses up the budget in exactly 30 days
     */
    record Row(String name, int minutes, long requests, long[] missedByCause, double burnRate) {
        long missed() {
            long sum = 0;
            for (long count : missedByCause) {
                sum += count;
            }
            return sum;
        }

        /** Returns how long a full budget lasts at this rate, in days or hours; {@code -} at rates up to 1. */
        String timeToExhaustion() {
            if (burnRate <= 1) {
                return "-";
            }
            double hours = BUDGET_DAYS * 24 / burnRate;
            return hours >= 48 ? "%.0f days".formatted(hours / 24) : "%.1f hours".formatted(hours);
        }
    }

    /**
     * Sums the reports of the entries.
     *
     * @param reports responses of the entries to {@code /operator/burn}
     * @param failures one line with address and reason for each entry that could not be queried
     */
    static BurnReport of(List<JsonNode> reports, List<String> failures) {
        double objective = reports.stream()
                .mapToDouble(report -> report.path("objective").asDouble(DEFAULT_OBJECTIVE))
                .max()
                .orElse(DEFAULT_OBJECTIVE);
        Map<String, Row> kinds = new TreeMap<>();
        Map<String, Row> organisations = new TreeMap<>();
        List<String> sources = new ArrayList<>();
        for (JsonNode report : reports) {
            sources.add("%s counts since %d s"
                    .formatted(
                            report.path("instance").asText("?"),
                            report.path("sinceSeconds").asLong()));
            report.path("kinds")
                    .forEach(kind -> kind.path("windows").forEach(window -> {
                        int minutes = window.path("minutes").asInt();
                        String name = kind.path("kind").asText();
                        addCounts(kinds, "%s %03d".formatted(name, minutes), name, minutes, window, objective);
                    }));
            report.path("organisations").forEach(organisation -> {
                String name = organisation.path("organisation").asText();
                addCounts(organisations, name, name, 60, organisation, objective);
            });
        }
        List<Row> mostMissedFirst = organisations.values().stream()
                .sorted(Comparator.comparingLong(Row::missed).reversed())
                .toList();
        return new BurnReport(objective, List.copyOf(kinds.values()), mostMissedFirst, sources, failures);
    }

    private static void addCounts(
            Map<String, Row> rows, String key, String name, int minutes, JsonNode counts, double objective) {
        long[] missed = new long[CAUSES.length];
        for (int i = 0; i < missed.length; i++) {
            missed[i] = counts.path(CAUSES[i]).asLong();
        }
        Row previous = rows.get(key);
        long requests = counts.path("requests").asLong() + (previous == null ? 0 : previous.requests());
        for (int i = 0; previous != null && i < missed.length; i++) {
            missed[i] += previous.missedByCause()[i];
        }
        Row sum = new Row(name, minutes, requests, missed, 0);
        double burnRate = requests == 0 ? 0 : (double) sum.missed() / requests / (1 - objective);
        rows.put(key, new Row(name, minutes, requests, missed, burnRate));
    }

    /** Returns whether a kind raises an alarm or an entry could not be queried. */
    boolean needsAttention() {
        return !failures.isEmpty() || kinds.stream().anyMatch(row -> !alarm(row).isEmpty());
    }

    /**
     * Returns the alarm of a row, empty if there is none. An alarm is raised only on a longer window, and only if both
     * the row and the 5-minute window of the same kind reach {@link #SLOW_BURN_RATE}.
     */
    private String alarm(Row row) {
        boolean burnsInShortWindow = kinds.stream()
                .anyMatch(other ->
                        other.name().equals(row.name()) && other.minutes() == 5 && other.burnRate() >= SLOW_BURN_RATE);
        if (row.minutes() == 5 || !burnsInShortWindow || row.burnRate() < SLOW_BURN_RATE) {
            return "";
        }
        return row.burnRate() >= FAST_BURN_RATE ? "FAST" : "SLOW";
    }

    /** Returns the report as text. */
    String text() {
        StringBuilder text =
                new StringBuilder("objective %.1f%%, %d-day budget%n".formatted(objective * 100, BUDGET_DAYS));
        sources.forEach(line -> text.append("  ").append(line).append('\n'));
        failures.forEach(line -> text.append("  missing: ").append(line).append('\n'));
        text.append("%n%-20s %6s %9s %7s %8s %8s %6s %8s %12s %s%n"
                .formatted("kind", "min", "requests", "late", "stalled", "refused", "lost", "burn", "lasts", "alarm"));
        kinds.forEach(row -> text.append(formatRow(row, alarm(row))));
        text.append("%n%-20s%n".formatted("organisation"));
        organisations.forEach(row -> text.append(formatRow(row, "")));
        return text.toString();
    }

    private static String formatRow(Row row, String alarm) {
        return "%-20s %6d %9d %7d %8d %8d %6d %8.2f %12s %s"
                        .formatted(
                                row.name(),
                                row.minutes(),
                                row.requests(),
                                row.missedByCause()[0],
                                row.missedByCause()[1],
                                row.missedByCause()[2],
                                row.missedByCause()[3],
                                row.burnRate(),
                                row.timeToExhaustion(),
                                alarm)
                        .stripTrailing()
                + "\n";
    }

    /** Returns the report as one self-contained HTML page. */
    String html() {
        StringBuilder page = new StringBuilder("""
                <!DOCTYPE html>
                <html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title><style>
                body{font:15px sans-serif;margin:2em;color:#222}table{border-collapse:collapse;margin:1em 0}
                td,th{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}
                td:first-child,th:first-child,.left{text-align:left}
                .bar{height:.8em;background:#4a7;display:inline-block}.slow{background:#e90}.fast{background:#c33}
                </style></head><body><h1>Service-level burn</h1>
                """);
        page.append("<p>Objective %.1f%%, %d-day budget. A burn rate of 1 uses up the budget exactly.</p><ul>"
                .formatted(objective * 100, BUDGET_DAYS));
        sources.forEach(line -> page.append("<li>").append(escape(line)).append("</li>"));
        failures.forEach(
                line -> page.append("<li>missing: ").append(escape(line)).append("</li>"));
        page.append("</ul>");
        appendTable(page, "Kind", kinds);
        appendTable(page, "Organisation, last hour", organisations);
        return page.append("</body></html>\n").toString();
    }

    private void appendTable(StringBuilder page, String title, List<Row> rows) {
        page.append("<table><tr><th>")
                .append(title)
                .append("</th><th>minutes</th><th>requests</th><th>late</th><th>stalled</th><th>refused</th>")
                .append("<th>lost</th>")
                .append("<th>burn rate</th><th>budget lasts</th><th></th></tr>\n");
        for (Row row : rows) {
            String cssClass = row.burnRate() >= FAST_BURN_RATE
                    ? "bar fast"
                    : row.burnRate() >= SLOW_BURN_RATE ? "bar slow" : "bar";
            page.append("<tr><td>%s</td><td>%d</td><td>%d</td>"
                    .formatted(escape(row.name()), row.minutes(), row.requests()));
            for (long count : row.missedByCause()) {
                page.append("<td>%d</td>".formatted(count));
            }
            page.append("<td>%.2f</td><td>%s</td><td class=\"left\"><span class=\"%s\" style=\"width:%.0fpx\">"
                            .formatted(
                                    row.burnRate(),
                                    row.timeToExhaustion(),
                                    cssClass,
                                    Math.min(200, row.burnRate() * 10)))
                    .append("</span></td></tr>\n");
        }
        page.append("</table>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
