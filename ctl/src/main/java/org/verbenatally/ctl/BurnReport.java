package org.verbenatally.ctl;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The use of the error budget, summed over the entries that answered. Counts live in the memory of each entry, so the
 * report says how long each of them has counted and which gave no answer.
 *
 * @param objective share of requests that must meet the service levels
 * @param kinds rows by kind and window
 * @param organisations rows of the last hour, those that missed most first
 * @param sources one line for each entry
 * @param silent one line for each entry that gave no answer
 */
record BurnReport(
        double objective, List<Row> kinds, List<Row> organisations, List<String> sources, List<String> silent) {
    private static final double DEFAULT_OBJECTIVE = 0.95;
    private static final int BUDGET_DAYS = 30;
    /** A rate at which 2% of a 30-day budget is gone within an hour; the usual threshold to page somebody. */
    private static final double FAST = 14.4;
    /** A rate at which 5% of a 30-day budget is gone within six hours; the usual threshold of a ticket. */
    private static final double SLOW = 6;

    private static final String[] CAUSES = {"late", "stalled", "refused", "lost"};

    /**
     * Counts of one kind or organisation in one window.
     *
     * @param name kind or organisation
     * @param minutes length of the window
     * @param requests counted requests
     * @param causes missed requests by cause: late, stalled, refused, lost
     * @param rate burn rate; 1 uses up the budget in exactly 30 days
     */
    record Row(String name, int minutes, long requests, long[] causes, double rate) {
        long missed() {
            long sum = 0;
            for (long cause : causes) {
                sum += cause;
            }
            return sum;
        }

        /** Returns how long a full budget lasts at this rate. */
        String exhaustion() {
            if (rate <= 1) {
                return "-";
            }
            double hours = BUDGET_DAYS * 24 / rate;
            return hours >= 48 ? "%.0f days".formatted(hours / 24) : "%.1f hours".formatted(hours);
        }
    }

    /** Sums the reports of the entries. */
    static BurnReport of(List<JsonNode> reports, List<String> silent) {
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
                        add(kinds, "%s %03d".formatted(name, minutes), name, minutes, window, objective);
                    }));
            report.path("organisations").forEach(organisation -> {
                String name = organisation.path("organisation").asText();
                add(organisations, name, name, 60, organisation, objective);
            });
        }
        List<Row> worst = organisations.values().stream()
                .sorted(Comparator.comparingLong(Row::missed).reversed())
                .toList();
        return new BurnReport(objective, List.copyOf(kinds.values()), worst, sources, silent);
    }

    private static void add(
            Map<String, Row> rows, String key, String name, int minutes, JsonNode counts, double objective) {
        long[] causes = new long[CAUSES.length];
        for (int i = 0; i < causes.length; i++) {
            causes[i] = counts.path(CAUSES[i]).asLong();
        }
        Row before = rows.get(key);
        long requests = counts.path("requests").asLong() + (before == null ? 0 : before.requests());
        for (int i = 0; before != null && i < causes.length; i++) {
            causes[i] += before.causes()[i];
        }
        Row sum = new Row(name, minutes, requests, causes, 0);
        double rate = requests == 0 ? 0 : (double) sum.missed() / requests / (1 - objective);
        rows.put(key, new Row(name, minutes, requests, causes, rate));
    }

    /** Tells whether a kind burns its budget fast in a short and a long window, or an entry gave no answer. */
    boolean needsAttention() {
        return !silent.isEmpty() || kinds.stream().anyMatch(row -> !alarm(row).isEmpty());
    }

    /** Returns the alarm that a row raises; both the 5-minute window and the longer one must burn. */
    private String alarm(Row row) {
        boolean burnsNow = kinds.stream()
                .anyMatch(other -> other.name().equals(row.name()) && other.minutes() == 5 && other.rate() >= SLOW);
        if (row.minutes() == 5 || !burnsNow || row.rate() < SLOW) {
            return "";
        }
        return row.rate() >= FAST ? "FAST" : "SLOW";
    }

    /** Returns the report as text. */
    String text() {
        StringBuilder text =
                new StringBuilder("objective %.1f%%, %d-day budget%n".formatted(objective * 100, BUDGET_DAYS));
        sources.forEach(line -> text.append("  ").append(line).append('\n'));
        silent.forEach(line -> text.append("  missing: ").append(line).append('\n'));
        text.append("%n%-20s %6s %9s %7s %8s %8s %6s %8s %12s %s%n"
                .formatted("kind", "min", "requests", "late", "stalled", "refused", "lost", "burn", "lasts", "alarm"));
        kinds.forEach(row -> text.append(line(row, alarm(row))));
        text.append("%n%-20s%n".formatted("organisation"));
        organisations.forEach(row -> text.append(line(row, "")));
        return text.toString();
    }

    private static String line(Row row, String alarm) {
        return "%-20s %6d %9d %7d %8d %8d %6d %8.2f %12s %s"
                        .formatted(
                                row.name(),
                                row.minutes(),
                                row.requests(),
                                row.causes()[0],
                                row.causes()[1],
                                row.causes()[2],
                                row.causes()[3],
                                row.rate(),
                                row.exhaustion(),
                                alarm)
                        .stripTrailing()
                + "\n";
    }

    /** Returns the report as one HTML page without external parts. */
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
        silent.forEach(line -> page.append("<li>missing: ").append(escape(line)).append("</li>"));
        page.append("</ul>");
        table(page, "Kind", kinds);
        table(page, "Organisation, last hour", organisations);
        return page.append("</body></html>\n").toString();
    }

    private void table(StringBuilder page, String title, List<Row> rows) {
        page.append("<table><tr><th>")
                .append(title)
                .append("</th><th>minutes</th><th>requests</th><th>late</th><th>stalled</th><th>refused</th>")
                .append("<th>lost</th>")
                .append("<th>burn rate</th><th>budget lasts</th><th></th></tr>\n");
        for (Row row : rows) {
            String colour = row.rate() >= FAST ? "bar fast" : row.rate() >= SLOW ? "bar slow" : "bar";
            page.append("<tr><td>%s</td><td>%d</td><td>%d</td>"
                    .formatted(escape(row.name()), row.minutes(), row.requests()));
            for (long cause : row.causes()) {
                page.append("<td>%d</td>".formatted(cause));
            }
            page.append("<td>%.2f</td><td>%s</td><td class=\"left\"><span class=\"%s\" style=\"width:%.0fpx\">"
                            .formatted(row.rate(), row.exhaustion(), colour, Math.min(200, row.rate() * 10)))
                    .append("</span></td></tr>\n");
        }
        page.append("</table>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
