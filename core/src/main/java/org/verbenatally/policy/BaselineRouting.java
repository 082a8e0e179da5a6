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
 * Common routing policies, used as baselines for comparison. They respect only the configured concurrency limit and do
 * not forecast memory use.
 */
final class BaselineRouting {
    private BaselineRouting() {}

    /** Returns a policy that takes the targets in turn. */
    static RoutingPolicy roundRobin() {
        AtomicInteger next = new AtomicInteger();
        return input -> {
            List<TargetSnapshot> available = belowLimit(input);
            if (available.isEmpty()) {
                return Optional.empty();
            }
            int turn = Math.floorMod(next.getAndIncrement(), available.size());
            return Optional.of(available.get(turn).target());
        };
    }

    /** Returns a policy that takes the target with the fewest requests in flight from this entry. */
    static RoutingPolicy fewestInFlight() {
        return input -> leastLoaded(belowLimit(input), TargetSnapshot::ownRequests);
    }

    /** Returns a policy that takes the target with the fewest requests in its latest report, uncorrected. */
    static RoutingPolicy lowestReported() {
        return input -> leastLoaded(
                belowLimit(input),
                t -> t.report().map(r -> (double) r.running() + r.waiting()).orElse((double) t.ownRequests()));
    }

    /** Returns a policy that samples two targets at random and takes the one with fewer known requests in flight. */
    static RoutingPolicy twoChoices() {
        return input -> {
            List<TargetSnapshot> available = belowLimit(input);
            if (available.size() < 2) {
                return available.stream().map(TargetSnapshot::target).findFirst();
            }
            UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
            int first = random.nextInt(available.size());
            int second = (first + 1 + random.nextInt(available.size() - 1)) % available.size();
            return leastLoaded(
                    List.of(available.get(first), available.get(second)), t -> t.ownRequests() + t.peerRequests());
        };
    }

    /**
     * Returns a policy that takes the target with the lowest key-value pressure ratio: token rate divided by remaining
     * memory. All requests of a batch decode at the same rate, so the token rate is proportional to the number of
     * requests.
     *
     * @param corrected whether to use the load estimated by this entry instead of the reported one
     */
    static RoutingPolicy keyValuePressure(boolean corrected) {
        return input -> leastLoaded(belowLimit(input), t -> {
            Estimate estimate = t.estimate();
            double requests = t.report()
                    .filter(r -> !corrected)
                    .map(r -> (double) r.running() + r.waiting())
                    .orElse(estimate.requests());
            double usedTokens = t.report()
                    .filter(r -> !corrected)
                    .map(r -> (double) r.kvUsedTokens())
                    .orElse(estimate.kvTokens());
            double remainingTokens = estimate.kvCapacityTokens() - usedTokens - input.promptTokens();
            return (requests + 1) / Math.max(1, remainingTokens);
        });
    }

    private static List<TargetSnapshot> belowLimit(RoutingInput input) {
        return input.candidates().stream()
                .filter(t -> t.ownRequests() + t.peerRequests() < t.maxConcurrent())
                .toList();
    }

    private static Optional<TargetId> leastLoaded(
            List<TargetSnapshot> available, ToDoubleFunction<TargetSnapshot> load) {
        return available.stream().min(Comparator.comparingDouble(load)).map(TargetSnapshot::target);
    }
}
