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
 * Counts how requests were served, by kind and by organisation, over the last hour. The counts live in memory and start
 * anew with the process; the report says since when they count. Thread-safe.
 *
 * <p>Size: 60 slots of 5 counts for each kind, 12 slots for each organisation that sent a request in the last hour.
 */
public final class ErrorBudget {
    private static final long SLOT_NANOS = 60_000_000_000L;
    private static final int MINUTES = 60;
    private static final int[] WINDOWS = {5, 30, MINUTES};
    /** Organisations have slots of this many minutes, so that thousands of them stay small. */
    private static final int COARSE_MINUTES = 5;
    /** Organisations in a report: those that missed most. */
    private static final int MAX_ORGANISATIONS = 50;

    private final LongSupplier nanos;
    private final long startNanos;
    private final Map<KindName, Ring> kinds = new HashMap<>();
    private final Map<OrganisationId, Ring> organisations = new HashMap<>();

    /** Counts in slots of equal length; a slot is cleared when its time comes round again. */
    private static final class Ring {
        private final long[] slotTimes;
        private final int[][] counts;

        Ring(int slots) {
            slotTimes = new long[slots];
            counts = new int[slots][];
        }

        void count(long time, Service service) {
            int slot = (int) (time % slotTimes.length);
            if (counts[slot] == null || slotTimes[slot] != time) {
                slotTimes[slot] = time;
                counts[slot] = new int[Service.values().length];
            }
            counts[slot][service.ordinal()]++;
        }

        /** Returns the sums over the slots from {@code from} on. */
        long[] sum(long from) {
            long[] sums = new long[Service.values().length];
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

    /** Creates an empty budget on a monotonic clock in nanoseconds. */
    public ErrorBudget(LongSupplier nanos) {
        this.nanos = Objects.requireNonNull(nanos, "nanos");
        this.startNanos = nanos.getAsLong();
    }

    /** Counts a request. A request that its caller cancelled is not counted. */
    public synchronized void count(KindName kind, OrganisationId organisation, Service service) {
        kinds.computeIfAbsent(kind, k -> new Ring(MINUTES)).count(minute(), service);
        organisations
                .computeIfAbsent(organisation, k -> new Ring(MINUTES / COARSE_MINUTES))
                .count(minute() / COARSE_MINUTES, service);
    }

    private long minute() {
        return (nanos.getAsLong() - startNanos) / SLOT_NANOS;
    }

    /**
     * Returns the report: {@code sinceSeconds}, {@code objective}, the windows of each kind with counts and burn rate,
     * and the last hour of the organisations that missed most. A burn rate of 1 uses up the budget exactly.
     */
    public synchronized JsonObject burn(double objective) {
        JsonArray kindRows = new JsonArray();
        kinds.entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(entry -> {
            JsonArray windows = new JsonArray();
            for (int length : WINDOWS) {
                windows.add(row(entry.getValue().sum(minute() - length + 1), objective)
                        .put("minutes", length));
            }
            kindRows.add(new JsonObject().put("kind", entry.getKey().value()).put("windows", windows));
        });
        return new JsonObject()
                .put("sinceSeconds", (nanos.getAsLong() - startNanos) / 1_000_000_000L)
                .put("objective", objective)
                .put("kinds", kindRows)
                .put("organisations", organisations(objective));
    }

    private JsonArray organisations(double objective) {
        long from = minute() / COARSE_MINUTES - MINUTES / COARSE_MINUTES + 1;
        JsonArray rows = new JsonArray();
        organisations.entrySet().stream()
                .map(entry -> row(entry.getValue().sum(from), objective)
                        .put("organisation", entry.getKey().value()))
                .filter(row -> row.getLong("requests") > 0)
                .sorted(Comparator.comparingLong(row -> -row.getLong("missed")))
                .limit(MAX_ORGANISATIONS)
                .forEach(rows::add);
        return rows;
    }

    private static JsonObject row(long[] sums, double objective) {
        JsonObject row = new JsonObject();
        long requests = 0;
        for (Service service : Service.values()) {
            requests += sums[service.ordinal()];
            row.put(service.name().toLowerCase(Locale.ROOT), sums[service.ordinal()]);
        }
        long missed = requests - sums[Service.MET.ordinal()];
        double rate = requests == 0 ? 0 : (double) missed / requests / (1 - objective);
        return row.put("requests", requests).put("missed", missed).put("burnRate", rate);
    }
}
