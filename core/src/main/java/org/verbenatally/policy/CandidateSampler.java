package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Picks the targets that a routing decision looks at. Up to {@link #ALL} targets are all looked at. Out of more, a
 * random sample is drawn, and the targets with the fewest known requests in it are looked at in detail.
 */
final class CandidateSampler {
    /** Number of targets up to which a decision looks at all of them. */
    static final int ALL = 16;
    /** Targets drawn at random in the first stage. */
    private static final int DRAWN = 32;
    /** Targets kept for the second stage. */
    private static final int KEPT = 8;

    private record Counted(TargetState state, int requests) {}

    private CandidateSampler() {}

    /** Returns the candidates; {@code preferred} is one of them if it passes the filter and is not {@code null}. */
    static List<TargetState> sample(
            TargetState[] all, Predicate<TargetState> filter, TargetState preferred, UniformRandomProvider random) {
        List<TargetState> result = new ArrayList<>(ALL);
        if (all.length <= ALL) {
            for (TargetState state : all) {
                if (filter.test(state)) {
                    result.add(state);
                }
            }
            return result;
        }
        // A random start and an odd step visit distinct targets without a set of those seen.
        int start = random.nextInt(all.length);
        int step = 1 + random.nextInt(all.length - 1);
        List<Counted> drawn = new ArrayList<>(DRAWN);
        int index = start;
        for (int i = 0; i < 4 * DRAWN && drawn.size() < DRAWN; i++) {
            TargetState state = all[index];
            if (state != preferred && filter.test(state)) {
                drawn.add(new Counted(state, state.knownRequests()));
            }
            index = (index + step) % all.length;
            if (index == start) {
                break;
            }
        }
        drawn.sort(Comparator.comparingInt(Counted::requests));
        drawn.stream().limit(KEPT).forEach(c -> result.add(c.state()));
        if (preferred != null && filter.test(preferred)) {
            result.add(preferred);
        }
        return result;
    }
}
