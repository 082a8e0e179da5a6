package org.verbenatally.policy;

import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.verbenatally.config.Kind;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.TargetSnapshot.Estimate;

/**
 * Sends a request where the expected peak of key-value memory and the batch leave the most room. Patient work waits if
 * its growth would overcommit the memory of every candidate, or if it would take the last places, which are kept for
 * urgent work.
 *
 * @param reserve share of the concurrency limit kept for urgent work
 * @param noise width of the random part of a score; spreads entries that see the same loads
 * @param affinity weight of a fully cached prompt against an empty target
 */
record HeadroomRouting(double reserve, double noise, double affinity) implements RoutingPolicy {
    /** Score of a target that has not reported lately, on top of its known load. */
    private static final double UNKNOWN = 0.4;

    /** Memory load from which on memory counts; below it, equal batches give the shortest gaps. */
    private static final double TIGHT = 0.75;
    /** Weight of memory beyond that against the share of the batch in use. */
    private static final double PRESSURE = 4;

    static final HeadroomRouting DEFAULT = new HeadroomRouting(0.02, 0.02, 0.1);

    @Override
    public Optional<TargetId> choose(RoutingInput input) {
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        TargetSnapshot best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (TargetSnapshot candidate : input.candidates()) {
            if (!mayTake(candidate, input)) {
                continue;
            }
            double score = score(candidate, input) + noise * random.nextDouble();
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best).map(TargetSnapshot::target);
    }

    private double score(TargetSnapshot target, RoutingInput input) {
        double memory = memoryLoad(target, input);
        double requests = (target.estimate().requests() + 1) / target.concurrencyLimit();
        double cached = input.promptTokens() == 0 ? 0 : target.prefixTokens() / (double) input.promptTokens();
        // Under memory pressure the engine has evicted the prefix, or must evict it to run this request.
        double benefit = affinity * cached * Math.max(0, 1 - memory);
        double unknown = target.report().isEmpty() ? UNKNOWN : 0;
        return requests + PRESSURE * Math.max(0, memory - TIGHT) + unknown - benefit;
    }

    private boolean mayTake(TargetSnapshot target, RoutingInput input) {
        double requests = target.estimate().requests();
        if (target.ownRequests() + target.peerRequests() >= target.maxConcurrent()) {
            return false;
        }
        if (input.kind().urgency() == Kind.Urgency.URGENT) {
            return requests + 1 <= target.concurrencyLimit();
        }
        double free = Math.min(target.concurrencyLimit() * (1 - reserve) - requests, freeMemory(target, input));
        return target.claim().allows(free);
    }

    /** Returns how many requests like this one fit into the memory that is expected to be free. */
    private static double freeMemory(TargetSnapshot target, RoutingInput input) {
        Estimate estimate = target.estimate();
        if (estimate.kvCapacityTokens() <= 0 || estimate.requests() < 1) {
            return Double.MAX_VALUE;
        }
        double usable = estimate.kvCapacityTokens() * (1 - estimate.margin());
        return estimate.forecast().room(input.promptTokens(), input.expectedTokens(), usable);
    }

    private static double memoryLoad(TargetSnapshot target, RoutingInput input) {
        Estimate estimate = target.estimate();
        if (estimate.kvCapacityTokens() <= 0) {
            return 0;
        }
        double usable = estimate.kvCapacityTokens() * (1 - estimate.margin());
        return estimate.forecast().peakWith(input.promptTokens(), input.expectedTokens()) / usable;
    }
}
