package org.verbenatally.entry.operator;

import java.util.function.LongSupplier;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Counts requests that met and missed the service levels, by minute over the last hour. Thread-safe. */
public final class ErrorBudget {
    private static final int MINUTES = 60;
    private static final long NANOS_PER_MINUTE = 60_000_000_000L;
    private static final int[] WINDOWS = {5, MINUTES};

    private final LongSupplier nanos;
    private final long startNanos;
    private final long[] minute = new long[MINUTES];
    private final long[] good = new long[MINUTES];
    private final long[] bad = new long[MINUTES];

    /** Creates an empty budget on a monotonic clock in nanoseconds. */
    public ErrorBudget(LongSupplier nanos) {
        this.nanos = nanos;
        this.startNanos = nanos.getAsLong();
    }

    private long minuteNow() {
        return (nanos.getAsLong() - startNanos) / NANOS_PER_MINUTE;
    }

    /** Counts a request. */
    public synchronized void count(boolean met) {
        long now = minuteNow();
        int slot = (int) (now % MINUTES);
        if (minute[slot] != now) {
            minute[slot] = now;
            good[slot] = 0;
            bad[slot] = 0;
        }
        if (met) {
            good[slot]++;
        } else {
            bad[slot]++;
        }
    }

    /** Returns the burn rate of each window: 1 uses up the budget exactly, above 1 it is exceeded. */
    public synchronized JsonObject burn(double objective) {
        JsonArray windows = new JsonArray();
        for (int length : WINDOWS) {
            long requests = 0;
            long missed = 0;
            for (int slot = 0; slot < MINUTES; slot++) {
                if (minuteNow() - minute[slot] < length) {
                    requests += good[slot] + bad[slot];
                    missed += bad[slot];
                }
            }
            double rate = requests == 0 ? 0 : (double) missed / requests / (1 - objective);
            windows.add(new JsonObject()
                    .put("minutes", length)
                    .put("requests", requests)
                    .put("missed", missed)
                    .put("burnRate", rate));
        }
        return new JsonObject().put("objective", objective).put("windows", windows);
    }
}
