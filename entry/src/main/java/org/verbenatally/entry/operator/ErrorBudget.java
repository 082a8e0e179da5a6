package org.verbenatally.entry.operator;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Counts how requests were served over the last hour, by kind and by organisation. The counts are held in memory and
 * are lost when the process stops; the report states the time for which requests have been counted. Safe for use by
 * several threads.
 *
 * <p>Size: 60 slots of 5 counts for each kind, and 12 slots of 5 counts for each organisation that has sent a request.
 */
public final class ErrorBudget {
    private static final long MINUTE_NANOS = 60_000_000_000L;
    private static final int HISTORY_MINUTES = 60;
    private static final int[] WINDOW_MINUTES = {5, 30, HISTORY_MINUTES};
    /** Slot length for organisations, in minutes; long enough to keep thousands of organisations in little memory. */
    private static final int ORGANISATION_SLOT_MINUTES = 5;
    /** Maximum number of organisations in a report; those with the most missed requests are included. */
    private static final int MAX_ORGANISATIONS = 50;

    private final LongSupplier nanos;
    private final long startNanos;
    private final Map<KindName, RingCounter> kinds = new HashMap<>();
    private final Map<OrganisationId, RingCounter> organisations = new HashMap<>();

    /** Counts in a ring of time slots of equal length; a slot is cleared when it is reused. */
    private static final class RingCounter {
        private final long[] slotTimes;
        private final int[][] counts;

        RingCounter(int slots) {
            slotTimes = new long[slots];
            counts = new int[slots][];
        }

        void count(long time, ServiceResult result) {
            int slot = (int) (time % slotTimes.length);
            if (counts[slot] == null || slotTimes[slot] != time) {
                slotTimes[slot] = time;
                counts[slot] = new int[ServiceResult.values().length];
            }
            counts[slot][result.ordinal()]++;
        }

        /**
         * Returns the count of each {@link ServiceResult} value over the latest slots, in the order of the values.
         *
         * @param from first slot time to include
         */
        long[] sumSince(long from) {
            long[] sums = new long[ServiceResult.values().length];
            for (int slot = 0; slot < counts.length; slot++) {
                if (counts[slot] != null && slotTimes[slot] >= from) {
                    for (int i = 0; i < sums.length; i++) {
                        sums[i] += counts[slot][i];
                    }
                }
            }
            return sums;
        }
    }

    /**
     * Creates an empty budget.
     *
     * @param nanos monotonic clock, in nanoseconds
     */
    public ErrorBudget(LongSupplier nanos) {
        this.nanos = Objects.requireNonNull(nanos, "nanos");
        this.startNanos = nanos.getAsLong();
    }

    /** Records how a request was served. Must not be called for a request that its caller cancelled. */
    public synchronized void recordResult(KindName kind, OrganisationId organisation, ServiceResult result) {
        kinds.computeIfAbsent(kind, k -> new RingCounter(HISTORY_MINUTES)).count(minute(), result);
        organisations
                .computeIfAbsent(organisation, k -> new RingCounter(HISTORY_MINUTES / ORGANISATION_SLOT_MINUTES))
                .count(minute() / ORGANISATION_SLOT_MINUTES, result);
    }

    /** Returns the number of full minutes since this budget was created. */
    private long minute() {
        return (nanos.getAsLong() - startNanos) / MINUTE_NANOS;
    }

    /**
     * Returns the report: {@code sinceSeconds}, the time for which requests have been counted; {@code objective}; the
     * windows of each kind with counts and burn rate; and the same for the last hour of the organisations with the most
     * missed requests. A burn rate of 1 uses up the budget exactly.
     *
     * @param objective fraction of requests that must meet their service levels; less than 1
     */
    public synchronized JsonObject report(double objective) {
        JsonArray kindReports = new JsonArray();
        kinds.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(entry -> {
            JsonArray windows = new JsonArray();
            for (int length : WINDOW_MINUTES) {
                windows.add(summary(entry.getValue().sumSince(minute() - length + 1), objective)
                        .put("minutes", length));
            }
            kindReports.add(new JsonObject().put("kind", entry.getKey().value()).put("windows", windows));
        });
        return new JsonObject()
                .put("sinceSeconds", (nanos.getAsLong() - startNanos) / 1_000_000_000L)
                .put("objective", objective)
                .put("kinds", kindReports)
                .put("organisations", organisations(objective));
    }

    private JsonArray organisations(double objective) {
        long from = minute() / ORGANISATION_SLOT_MINUTES - HISTORY_MINUTES / ORGANISATION_SLOT_MINUTES + 1;
        JsonArray reports = new JsonArray();
        organisations.entrySet().stream()
                .map(entry -> summary(entry.getValue().sumSince(from), objective)
                        .put("organisation", entry.getKey().value()))
                .filter(summary -> summary.getLong("requests") > 0)
                .sorted(Comparator.comparingLong(summary -> -summary.getLong("missed")))
                .limit(MAX_ORGANISATIONS)
                .forEach(reports::add);
        return reports;
    }

    private static JsonObject summary(long[] sums, double objective) {
        JsonObject summary = new JsonObject();
        long requests = 0;
        for (ServiceResult result : ServiceResult.values()) {
            requests += sums[result.ordinal()];
            summary.put(result.name().toLowerCase(Locale.ROOT), sums[result.ordinal()]);
        }
        long missed = requests - sums[ServiceResult.MET.ordinal()];
        double rate = requests == 0 ? 0 : (double) missed / requests / (1 - objective);
        return summary.put("requests", requests).put("missed", missed).put("burnRate", rate);
    }
}
