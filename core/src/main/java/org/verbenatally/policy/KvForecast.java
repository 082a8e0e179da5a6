package org.verbenatally.policy;

/**
 * Expected use of key-value memory on one engine after some more decoding steps, if no further request is sent there. A
 * request grows by a token a step and releases its memory when it ends; ends are taken as memoryless with the expected
 * remaining length as mean. Taking that length as certain instead would predict far too high a peak, as it lets every
 * request reach its full size before any shorter one ends.
 */
final class KvForecast {
    /** Decoding steps at which the forecast is made. At 35 ms a step, they cover two minutes. */
    private static final int[] STEPS = {0, 50, 100, 200, 400, 800, 1600, 3200};

    private final double[] tokens = new double[STEPS.length];

    /**
     * Adds requests that hold some tokens each and are expected to add some more each.
     *
     * @param held tokens that each holds
     * @param remaining tokens that each is expected to add, positive
     * @param weight number of such requests
     */
    void add(double held, double remaining, double weight) {
        for (int i = 0; i < STEPS.length; i++) {
            tokens[i] += weight * expected(i, held, remaining);
        }
    }

    private static double expected(int i, double held, double remaining) {
        return (held + STEPS[i]) * Math.exp(-STEPS[i] / remaining);
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
    double peakWith(double held, double remaining) {
        double peak = 0;
        for (int i = 0; i < STEPS.length; i++) {
            peak = Math.max(peak, tokens[i] + expected(i, held, remaining));
        }
        return peak;
    }

    /** Returns how many requests fit beside the present ones into a memory of some tokens; may be negative. */
    double room(double held, double remaining, double memory) {
        double room = Double.MAX_VALUE;
        for (int i = 0; i < STEPS.length; i++) {
            double need = expected(i, held, remaining);
            // What is left of the request by then is too little to decide on.
            if (need > 1) {
                room = Math.min(room, (memory - tokens[i]) / need);
            }
        }
        return room;
    }
}
