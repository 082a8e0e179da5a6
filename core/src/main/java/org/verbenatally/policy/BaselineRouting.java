package org.verbenatally.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.TargetSnapshot.Estimate;

/**
 * The usual ways to choose a target, for comparison. They obey only the configured concurrency and know nothing of
 * memory that will be needed.
 */
final class BaselineRouting {
    private BaselineRouting() {}

    /** Takes the targets in turn. */
    static RoutingPolicy roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return input -> {
            List<TargetSnapshot> open = open(input);
            if (open.isEmpty()) {
                return Optional.empty();
            }
            int turn = Math.floorMod(next.getAndIncrement(), open.size());
            return Optional.of(open.get(turn).target());
        };
    }

    /** Takes the target with the fewest requests in flight from this entry. */
    static RoutingPolicy fewestInFlight() {
        return input -> lowest(open(input), TargetSnapshot::ownRequests);
    }

    /** Takes the target whose last report shows the fewest requests, as it was published. */
    static RoutingPolicy lowestReported() {
        return input -> lowest(
                open(input),
                t -> t.report().map(r -> (double) r.running() + r.waiting()).orElse((double) t.ownRequests()));
    }

    /** Draws two targets at random and takes the one with fewer known requests in flight. */
    static RoutingPolicy twoChoices() {
        return input -> {
            List<TargetSnapshot> open = open(input);
            if (open.size() < 2) {
                return open.stream().map(TargetSnapshot::target).findFirst();
            }
            UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
            int one = random.nextInt(open.size());
            int other = (one + 1 + random.nextInt(open.size() - 1)) % open.size();
            return lowest(List.of(open.get(one), open.get(other)), t -> t.ownRequests() + t.peerRequests());
        };
    }

    /**
     * Takes the target with the lowest key-value pressure ratio: token rate over remaining memory. All requests decode
     * at the same rate in one batch, so the rate is proportional to the requests.
     *
     * @param corrected whether the load estimated here is used instead of the published one
     */
    static RoutingPolicy keyValuePressure(boolean corrected) {
        return input -> lowest(open(input), t -> {
            Estimate now = t.estimate();
            double requests = t.report()
                    .filter(r -> !corrected)
                    .map(r -> (double) r.running() + r.waiting())
                    .orElse(now.requests());
            double used = t.report()
                    .filter(r -> !corrected)
                    .map(r -> (double) r.kvUsedTokens())
                    .orElse(now.kvTokens());
            double left = now.kvCapacityTokens() - used - input.promptTokens();
            return (requests + 1) / Math.max(1, left);
        });
    }

    private static List<TargetSnapshot> open(RoutingInput input) {
        return input.candidates().stream()
                .filter(t -> t.ownRequests() + t.peerRequests() < t.maxConcurrent())
                .toList();
    }

    private static Optional<TargetId> lowest(List<TargetSnapshot> open, ToDoubleFunction<TargetSnapshot> load) {
        return open.stream().min(Comparator.comparingDouble(load)).map(TargetSnapshot::target);
    }
}
