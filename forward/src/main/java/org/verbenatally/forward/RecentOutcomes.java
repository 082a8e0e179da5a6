package org.verbenatally.forward;

import java.util.concurrent.TimeUnit;

/**
 * Counts how many requests a target responded to recently, and how many of them it failed. Older ones count less and
 * less.
 */
final class RecentOutcomes {
    /** The counts halve in this time, so that a target that has recovered is tried again. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private double failures;
    private double responses;
    private long updatedAt;

    /** Counts a response. */
    synchronized void add(boolean failure, long now) {
        decay(now);
        responses++;
        if (failure) {
            failures++;
        }
    }

    private void decay(long now) {
        // The elapsed time is at least zero, also before the first count, when the origin of the clock may lie in the
        // future.
        double factor = Math.pow(0.5, Math.max(0, now - updatedAt) / HALF_LIFE_NANOS);
        failures *= factor;
        responses *= factor;
        updatedAt = now;
    }

    /** Clears the counts, since the target has restarted. */
    synchronized void reset() {
        failures = 0;
        responses = 0;
    }

    /** Returns the count of failures after decay, rounded. */
    synchronized int failures(long now) {
        decay(now);
        return (int) Math.round(failures);
    }

    /** Returns the count of responses after decay, rounded; never less than the failures. */
    synchronized int responses(long now) {
        decay(now);
        return (int) Math.round(responses);
    }
}
