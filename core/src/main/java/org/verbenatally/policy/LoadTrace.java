package org.verbenatally.policy;

import java.util.concurrent.TimeUnit;

/**
 * Recent samples of the load that this entry and its peers have in flight at one target. They give the load at the time
 * when a lagging report was created. Not safe for use by several threads.
 */
final class LoadTrace {
    /** Number of samples. With the spacing, they cover five seconds: a report lag of two seconds and a poll period. */
    private static final int MAX_SAMPLES = 32;

    private static final long SPACING_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * The load in flight at one time.
     *
     * @param ownRequests requests of this entry
     * @param ownTokens tokens held by those requests
     * @param peerRequests requests of peers, as last received by then
     * @param peerTokens tokens held by those requests
     */
    record Sample(int ownRequests, long ownTokens, int peerRequests, long peerTokens) {
        static final Sample ZERO = new Sample(0, 0, 0, 0);
    }

    private final long[] times = new long[MAX_SAMPLES];
    private final Sample[] samples = new Sample[MAX_SAMPLES];
    private long count;

    /** Records the values that applied until now; a sample closer to the previous one than the spacing is ignored. */
    void add(long nanos, Sample sample) {
        if (count > 0 && nanos - times[index(count - 1)] < SPACING_NANOS) {
            return;
        }
        times[index(count)] = nanos;
        samples[index(count)] = sample;
        count++;
    }

    /** Returns the sample closest to the given time. */
    Sample at(long nanos) {
        if (count == 0) {
            return Sample.ZERO;
        }
        long oldest = Math.max(0, count - MAX_SAMPLES);
        long best = count - 1;
        while (best > oldest && times[index(best)] - nanos > SPACING_NANOS / 2) {
            best--;
        }
        return samples[index(best)];
    }

    private static int index(long number) {
        return (int) (number % MAX_SAMPLES);
    }
}
