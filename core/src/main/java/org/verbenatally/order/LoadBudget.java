package org.verbenatally.order;

import java.time.Duration;

/**
 * This entry's share of the load rate of the weight store. The budget holds at most one load and starts empty, so that
 * the sum over all entries stays below the limit even after a restart or an idle hour.
 */
final class LoadBudget {
    private static final double NANOS_PER_MINUTE = Duration.ofMinutes(1).toNanos();

    private double balance;
    private long lastNanos;

    LoadBudget(long nowNanos) {
        lastNanos = nowNanos;
    }

    /**
     * Takes one load if the share allows it.
     *
     * @param nowNanos the monotonic time, in nanoseconds
     * @param loadsPerMinute limit over all entries, in loads per minute
     * @param entries the larger of the planned and the known number of entries
     * @return whether a load was taken
     */
    synchronized boolean tryTake(long nowNanos, double loadsPerMinute, int entries) {
        double share = loadsPerMinute / Math.max(1, entries);
        balance = Math.min(1, balance + Math.max(0, nowNanos - lastNanos) / NANOS_PER_MINUTE * share);
        lastNanos = nowNanos;
        // A balance slightly below one counts as one, because adding many small increments rounds down.
        if (balance < 1 - 1e-9) {
            return false;
        }
        balance = 0;
        return true;
    }
}
