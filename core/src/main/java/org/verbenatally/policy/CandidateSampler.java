package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Selects the targets that a routing decision evaluates. Up to {@link #SAMPLING_THRESHOLD} targets are all evaluated.
 * From a larger number, a random sample is taken, and only its targets with the fewest known requests are evaluated.
 */
final class CandidateSampler {
    /** Largest number of targets that are all evaluated. */
    static final int SAMPLING_THRESHOLD = 16;
    /** Number of targets in the random sample. */
    private static final int SAMPLE_SIZE = 32;
    /** Number of targets of the sample that are evaluated. */
    private static final int SHORTLIST_SIZE = 8;

    private record Sampled(TargetState state, int requests) {}

    private CandidateSampler() {}

    /** Returns the candidates. They include {@code preferred} if it is not {@code null} and passes the filter. */
    static List<TargetState> sample(
            TargetState[] all, Predicate<TargetState> filter, TargetState preferred, UniformRandomProvider random) {
        List<TargetState> result = new ArrayList<>(SAMPLING_THRESHOLD);
        if (all.length <= SAMPLING_THRESHOLD) {
            for (TargetState state : all) {
                if (filter.test(state)) {
                    result.add(state);
                }
            }
            return result;
        }
        // Equal steps from a random start visit distinct targets until they return to it, so no set of visited ones is
        // needed.
        int start = random.nextInt(all.length);
        int step = 1 + random.nextInt(all.length - 1);
        List<Sampled> sampled = new ArrayList<>(SAMPLE_SIZE);
        int index = start;
        for (int i = 0; i < 4 * SAMPLE_SIZE && sampled.size() < SAMPLE_SIZE; i++) {
            TargetState state = all[index];
            if (state != preferred && filter.test(state)) {
                sampled.add(new Sampled(state, state.knownRequests()));
            }
            index = (index + step) % all.length;
            if (index == start) {
                break;
            }
        }
        sampled.sort(Comparator.comparingInt(Sampled::requests));
        sampled.stream().limit(SHORTLIST_SIZE).forEach(c -> result.add(c.state()));
        if (preferred != null && filter.test(preferred)) {
            result.add(preferred);
        }
        return result;
    }
}
