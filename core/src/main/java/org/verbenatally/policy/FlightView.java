package org.verbenatally.policy;

import java.util.Arrays;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;

/**
 * What this entry's own flights say about the requests of others: callers spread over the entries at random, so the
 * requests of peers resemble its own.
 *
 * @param meanPrompt mean length of the prompts, in tokens
 * @param remainingQuantiles expected remaining tokens of a request, as equally likely values in rising order
 * @param entries entries that compete for the targets
 */
record FlightView(double meanPrompt, double[] remainingQuantiles, int entries) {
    private static final int QUANTILES = 8;
    private static final int MIN_FLIGHTS = 8;

    /** Assumes nothing but a typical length. */
    static FlightView initial(double typicalTokens, int entries) {
        return new FlightView(typicalTokens / 4, new double[] {typicalTokens / 2, typicalTokens}, entries);
    }

    /** Computes the view of the given flights; keeps the older quantiles if there are too few. */
    FlightView renewed(List<RunningFlight> flights, int entryCount) {
        if (flights.size() < MIN_FLIGHTS) {
            return new FlightView(meanPrompt, remainingQuantiles, entryCount);
        }
        double[] remaining = flights.stream()
                .mapToDouble(RunningFlight::expectedRemaining)
                .sorted()
                .toArray();
        double[] quantiles = new double[QUANTILES];
        Arrays.setAll(quantiles, i -> remaining[(2 * i + 1) * remaining.length / (2 * QUANTILES)]);
        double prompt = flights.stream()
                .mapToInt(f -> f.request().promptTokens())
                .average()
                .orElse(meanPrompt);
        return new FlightView(prompt, quantiles, entryCount);
    }

    /** Returns a uniform random number from 0 to 1. */
    double draw() {
        return ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP).nextDouble();
    }
}
