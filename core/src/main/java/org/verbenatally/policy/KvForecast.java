package org.verbenatally.policy;

import java.util.Arrays;

/**
 * Predicts the peak of key-value memory on one engine: all requests grow by a token a step until they finish and
 * release their memory. Not safe for use by several threads.
 */
final class KvForecast {
    /** Requests as (remaining tokens, held tokens, weight); weights above 1 stand for several equal requests. */
    private double[][] rows = new double[32][];

    private int size;
    private double peak;
    private double steps;

    /** Starts a new forecast. */
    void clear() {
        size = 0;
    }

    /** Adds requests that hold some tokens each and are expected to add some more each. */
    void add(double held, double remaining, double weight) {
        if (size == rows.length) {
            rows = Arrays.copyOf(rows, 2 * size);
        }
        if (rows[size] == null) {
            rows[size] = new double[3];
        }
        rows[size][0] = remaining;
        rows[size][1] = held;
        rows[size][2] = weight;
        size++;
    }

    /** Computes the forecast for the requests added. */
    void compute() {
        // Just before the request with the i-th longest remainder finishes, exactly the i longest are still there.
        Arrays.sort(rows, 0, size, (a, b) -> Double.compare(b[0], a[0]));
        double weight = 0;
        double held = 0;
        peak = 0;
        steps = 0;
        for (int i = 0; i < size; i++) {
            weight += rows[i][2];
            held += rows[i][1] * rows[i][2];
            double then = held + weight * rows[i][0];
            if (then > peak) {
                peak = then;
                steps = rows[i][0];
            }
        }
    }

    /** Returns the largest number of tokens that the requests are expected to hold at one time. */
    double peak() {
        return peak;
    }

    /** Returns the decoding steps until that peak. */
    double steps() {
        return steps;
    }
}
