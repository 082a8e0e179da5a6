package org.verbenatally.order;

import java.time.Duration;

/**
 * This entry's share of the weight store's rate. It holds at most one load and starts empty, so that neither a restart
 * nor an idle hour lets the sum over all entries pass the limit.
 */
final class LoadBudget {
    private static final double MINUTE = Duration.ofMinutes(1).toNanos();

    private double loads;
    private long last;

    LoadBudget(long now) {
        last = now;
    }

    /**
     * Takes one load if the share allows it.
     *
     * @param loadsPerMinute limit over all entries
     * @param entries the larger of the planned and the known number of entries
     */
    synchronized boolean take(long now, double loadsPerMinute, int entries) {
        double share = loadsPerMinute / Math.max(1, entries);
        loads = Math.min(1, loads + Math.max(0, now - last) / MINUTE * share);
        last = now;
        // A little less than one counts as one: adding many small parts rounds down.
        if (loads < 1 - 1e-9) {
            return false;
        }
        loads = 0;
        return true;
    }
}
