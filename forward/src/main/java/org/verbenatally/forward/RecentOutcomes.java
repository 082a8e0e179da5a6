package org.verbenatally.forward;

import java.util.concurrent.TimeUnit;

/** How many requests a target answered lately, and how many of them it failed; older ones count less and less. */
final class RecentOutcomes {
    /** The counts halve in this time, so that a target that recovered is tried again. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(4);

    private double failures;
    private double responses;
    private long updatedAt;

    /** Counts an answer. */
    synchronized void add(boolean failure, long now) {
        decay(now);
        responses++;
        if (failure) {
            failures++;
        }
    }

    private void decay(long now) {
        // Not older than the first count, as the origin of the clock may lie in the future.
        double factor = Math.pow(0.5, Math.max(0, now - updatedAt) / HALF_LIFE_NANOS);
        failures *= factor;
        responses *= factor;
        updatedAt = now;
    }

    /** Forgets all, since the target has started anew. */
    synchronized void reset() {
        failures = 0;
        responses = 0;
    }

    /** Returns the failures that still count, rounded. */
    synchronized int failures(long now) {
        decay(now);
        return (int) Math.round(failures);
    }

    /** Returns the answers that still count, rounded; never fewer than the failures. */
    synchronized int responses(long now) {
        decay(now);
        return (int) Math.round(responses);
    }
}
