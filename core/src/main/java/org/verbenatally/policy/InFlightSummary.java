package org.verbenatally.policy;

import java.util.Arrays;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;

/**
 * Summary of the requests that this entry has in flight, used to estimate those of its peers: callers spread over the
 * entries at random, so the requests of the entries resemble each other.
 *
 * @param meanPrompt mean length of the prompts, in tokens
 * @param remainingQuantiles expected remaining tokens of a request, as equally likely values in ascending order
 * @param entries number of entries that compete for the targets
 */
record InFlightSummary(double meanPrompt, double[] remainingQuantiles, int entries) {
    private static final int QUANTILES = 8;
    private static final int MIN_REQUESTS = 8;

    /** Creates a summary from a typical output length alone, in tokens. */
    static InFlightSummary initial(double typicalTokens, int entries) {
        return new InFlightSummary(typicalTokens / 4, new double[] {typicalTokens / 2, typicalTokens}, entries);
    }

    /** Returns a summary of the given requests; keeps the previous lengths if there are too few requests. */
    InFlightSummary updated(List<DispatchedRequest> inFlight, int entryCount) {
        if (inFlight.size() < MIN_REQUESTS) {
            return new InFlightSummary(meanPrompt, remainingQuantiles, entryCount);
        }
        double[] remaining = inFlight.stream()
                .mapToDouble(DispatchedRequest::expectedRemaining)
                .sorted()
                .toArray();
        double[] quantiles = new double[QUANTILES];
        Arrays.setAll(quantiles, i -> remaining[(2 * i + 1) * remaining.length / (2 * QUANTILES)]);
        double prompt = inFlight.stream()
                .mapToInt(d -> d.request().promptTokens())
                .average()
                .orElse(meanPrompt);
        return new InFlightSummary(prompt, quantiles, entryCount);
    }

    /** Returns a uniform random sample between 0 and 1. */
    double randomSample() {
        return ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP).nextDouble();
    }
}
