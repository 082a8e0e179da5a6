package org.verbenatally.policy;

/**
 * Expected use of key-value memory on one engine over the next decoding steps, if no further request is sent there. A
 * request grows by one token per step and releases its memory when it ends. Ends are modelled as memoryless, with the
 * expected remaining length as the mean. If that length were taken as certain, the predicted peak would be far too
 * high, because every request would reach its full size before any shorter one ends.
 */
final class KvForecast {
    /** Numbers of decoding steps for which the forecast is made. At 35 ms per step, they cover two minutes. */
    private static final int[] STEPS = {0, 50, 100, 200, 400, 800, 1600, 3200};

    private final double[] tokens = new double[STEPS.length];

    /**
     * Adds requests that hold the same number of tokens and are expected to grow by the same number.
     *
     * @param heldTokens tokens that each request holds
     * @param remainingTokens tokens that each request is expected to add, positive
     * @param count number of such requests
     */
    void add(double heldTokens, double remainingTokens, double count) {
        for (int i = 0; i < STEPS.length; i++) {
            tokens[i] += count * expectedTokens(i, heldTokens, remainingTokens);
        }
    }

    private static double expectedTokens(int i, double heldTokens, double remainingTokens) {
        return (heldTokens + STEPS[i]) * Math.exp(-STEPS[i] / remainingTokens);
    }

    /** Returns the largest expected use of memory, in tokens. */
    double peak() {
        double peak = 0;
        for (double t : tokens) {
            peak = Math.max(peak, t);
        }
        return peak;
    }

    /** Returns the largest expected use of memory with one more request, in tokens. */
    double peakWith(double heldTokens, double remainingTokens) {
        double peak = 0;
        for (int i = 0; i < STEPS.length; i++) {
            peak = Math.max(peak, tokens[i] + expectedTokens(i, heldTokens, remainingTokens));
        }
        return peak;
    }

    /** Returns how many more requests of this size fit into a memory of {@code memoryTokens}; may be negative. */
    double additionalRequests(double heldTokens, double remainingTokens, double memoryTokens) {
        double requests = Double.MAX_VALUE;
        for (int i = 0; i < STEPS.length; i++) {
            double needed = expectedTokens(i, heldTokens, remainingTokens);
            // What remains of the request at this step is too little to decide on.
            if (needed > 1) {
                requests = Math.min(requests, (memoryTokens - tokens[i]) / needed);
            }
        }
        return requests;
    }
}
