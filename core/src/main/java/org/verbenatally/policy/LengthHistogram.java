package org.verbenatally.policy;

/**
 * Output lengths in buckets that grow by the square root of two. Holds at most {@link #MEMORY} observations' weight:
 * older ones fade, so that the histogram follows a change of the work. Not safe for use by several threads.
 */
final class LengthHistogram {
    /** Largest total weight; reaching it halves all counts. */
    static final int MEMORY = 1024;
    /** Covers lengths up to a million tokens. */
    private static final int BUCKETS = 42;

    private final float[] counts = new float[BUCKETS];
    private float total;

    /** Adds one observed length with a weight. */
    void add(int tokens, float weight) {
        counts[bucket(tokens)] += weight;
        total += weight;
        if (total > MEMORY) {
            total = 0;
            for (int i = 0; i < BUCKETS; i++) {
                counts[i] /= 2;
                total += counts[i];
            }
        }
    }

    /** Returns the weight of all observations. */
    double total() {
        return total;
    }

    /** Returns the weight of observations that are longer than {@code soFar}; the present bucket counts in part. */
    double weightAbove(int soFar) {
        int first = bucket(soFar + 1);
        double weight = counts[first] * partAbove(first, soFar);
        for (int i = first + 1; i < BUCKETS; i++) {
            weight += counts[i];
        }
        return weight;
    }

    /** Returns the sum, over observations longer than {@code soFar}, of what they exceed it by. */
    double excessAbove(int soFar) {
        int first = bucket(soFar + 1);
        double excess = 0;
        for (int i = first; i < BUCKETS; i++) {
            if (counts[i] > 0) {
                double from = Math.max(low(i), soFar);
                double part = i == first ? partAbove(first, soFar) : 1;
                excess += counts[i] * part * ((from + low(i + 1)) / 2 - soFar);
            }
        }
        return excess;
    }

    private static double partAbove(int bucket, int soFar) {
        double low = low(bucket);
        double high = low(bucket + 1);
        return Math.clamp((high - soFar) / (high - low), 0, 1);
    }

    static int bucket(int tokens) {
        if (tokens <= 1) {
            return 0;
        }
        int exponent = 31 - Integer.numberOfLeadingZeros(tokens);
        int index = 2 * exponent + ((long) tokens * tokens >= 1L << (2 * exponent + 1) ? 1 : 0);
        return Math.min(BUCKETS - 1, index);
    }

    private static double low(int bucket) {
        return bucket == 0 ? 0 : Math.pow(2, bucket / 2.0);
    }
}
