package org.verbenatally.policy;

/**
 * Output lengths in buckets that grow by the square root of two. The total weight of the observations is at most {@link
 * #MAX_TOTAL_WEIGHT}: older ones decay, so that the histogram follows changes in the work. Not safe for use by several
 * threads.
 */
final class LengthHistogram {
    /** Largest total weight; all weights are halved when it is exceeded. */
    static final int MAX_TOTAL_WEIGHT = 1024;
    /** Number of buckets; they cover lengths up to a million tokens. */
    private static final int BUCKETS = 42;

    private final float[] weights = new float[BUCKETS];
    private float totalWeight;

    /** Adds an observed length with a weight. */
    void add(int tokens, float weight) {
        weights[bucket(tokens)] += weight;
        totalWeight += weight;
        if (totalWeight > MAX_TOTAL_WEIGHT) {
            totalWeight = 0;
            for (int i = 0; i < BUCKETS; i++) {
                weights[i] /= 2;
                totalWeight += weights[i];
            }
        }
    }

    /** Returns the weight of all observations. */
    double totalWeight() {
        return totalWeight;
    }

    /** Returns the weight of the observations above a length; the bucket of the length counts in part. */
    double weightAbove(int length) {
        int first = bucket(length + 1);
        double weight = weights[first] * shareAbove(first, length);
        for (int i = first + 1; i < BUCKETS; i++) {
            weight += weights[i];
        }
        return weight;
    }

    /** Returns the weighted sum of the excess of the observations above a length, in tokens. */
    double excessAbove(int length) {
        int first = bucket(length + 1);
        double excess = 0;
        for (int i = first; i < BUCKETS; i++) {
            if (weights[i] > 0) {
                double from = Math.max(lowerBound(i), length);
                double share = i == first ? shareAbove(first, length) : 1;
                excess += weights[i] * share * ((from + lowerBound(i + 1)) / 2 - length);
            }
        }
        return excess;
    }

    private static double shareAbove(int bucket, int length) {
        double lower = lowerBound(bucket);
        double upper = lowerBound(bucket + 1);
        return Math.clamp((upper - length) / (upper - lower), 0, 1);
    }

    static int bucket(int tokens) {
        if (tokens <= 1) {
            return 0;
        }
        int exponent = 31 - Integer.numberOfLeadingZeros(tokens);
        int index = 2 * exponent + ((long) tokens * tokens >= 1L << (2 * exponent + 1) ? 1 : 0);
        return Math.min(BUCKETS - 1, index);
    }

    private static double lowerBound(int bucket) {
        return bucket == 0 ? 0 : Math.pow(2, bucket / 2.0);
    }
}
