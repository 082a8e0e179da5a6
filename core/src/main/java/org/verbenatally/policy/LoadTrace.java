package org.verbenatally.policy;

import java.util.concurrent.TimeUnit;

/**
 * Recent values of what this entry and its peers have in flight on one target, so that a lagged report can be compared
 * with what was in flight when it was made. Not safe for use by several threads.
 */
final class LoadTrace {
    /** With the spacing, covers five seconds: a report lag of two seconds and a poll period. */
    private static final int SAMPLES = 32;

    private static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * What was in flight at one time.
     *
     * @param ownRequests requests of this entry
     * @param ownTokens tokens they held
     * @param peerRequests requests of peers, as last heard then
     * @param peerTokens tokens they held
     */
    record Point(int ownRequests, long ownTokens, int peerRequests, long peerTokens) {
        static final Point ZERO = new Point(0, 0, 0, 0);
    }

    private final long[] times = new long[SAMPLES];
    private final Point[] points = new Point[SAMPLES];
    private long count;

    /** Takes the values that held until now; values closer to the previous one than the spacing are left out. */
    void add(long nanos, Point point) {
        if (count > 0 && nanos - times[index(count - 1)] < SPACING_NANOS) {
            return;
        }
        times[index(count)] = nanos;
        points[index(count)] = point;
        count++;
    }

    /** Returns the values closest to the given time. */
    Point at(long nanos) {
        if (count == 0) {
            return Point.ZERO;
        }
        long oldest = Math.max(0, count - SAMPLES);
        long best = count - 1;
        while (best > oldest && times[index(best)] - nanos > SPACING_NANOS / 2) {
            best--;
        }
        return points[index(best)];
    }

    private static int index(long number) {
        return (int) (number % SAMPLES);
    }
}
