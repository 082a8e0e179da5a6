package org.verbenatally.policy;

import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.verbenatally.config.Kind;
import org.verbenatally.core.TargetId;
import org.verbenatally.policy.TargetSnapshot.Estimate;

/**
 * Routes a request to the target with the most headroom, judged by the expected peak of key-value memory and by the
 * share of the batch in use. Patient work waits if its growth would overcommit the memory of every candidate, or if it
 * would take the last slots, which are reserved for urgent work.
 *
 * @param reserve share of the concurrency limit that is reserved for urgent work
 * @param noise width of the random part of a score, which spreads the requests of entries that see the same loads
 * @param affinity score benefit of a fully cached prompt at an otherwise empty target
 */
record HeadroomRouting(double reserve, double noise, double affinity) implements RoutingPolicy {
    /** Penalty on the score of a target without a recent report, on top of its known load. */
    private static final double NO_REPORT_PENALTY = 0.4;

    /** Memory load above which it adds to the score; below it, equal batches give the shortest token gaps. */
    private static final double MEMORY_THRESHOLD = 0.75;
    /** Weight of the memory load above the threshold, relative to the share of the batch in use. */
    private static final double MEMORY_WEIGHT = 4;

    static final HeadroomRouting DEFAULT = new HeadroomRouting(0.02, 0.06, 0.1);

    @Override
    public Optional<TargetId> choose(RoutingInput input) {
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        TargetSnapshot best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (TargetSnapshot candidate : input.candidates()) {
            if (!hasCapacity(candidate, input)) {
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
        double memoryLoad = memoryLoad(target, input);
        double requests = (target.estimate().requests() + 1) / target.concurrencyLimit();
        double cachedShare = input.promptTokens() == 0 ? 0 : target.prefixTokens() / (double) input.promptTokens();
        // Under memory pressure, the engine has evicted the prefix or must evict it to run this request.
        double benefit = affinity * cachedShare * Math.max(0, 1 - memoryLoad);
        double penalty = target.report().isEmpty() ? NO_REPORT_PENALTY : 0;
        return requests + MEMORY_WEIGHT * Math.max(0, memoryLoad - MEMORY_THRESHOLD) + penalty - benefit;
    }

    private boolean hasCapacity(TargetSnapshot target, RoutingInput input) {
        double requests = target.estimate().requests();
        if (target.ownRequests() + target.peerRequests() >= target.maxConcurrent()) {
            return false;
        }
        if (input.kind().urgency() == Kind.Urgency.URGENT) {
            return requests + 1 <= target.concurrencyLimit();
        }
        double freeSlots = Math.min(target.concurrencyLimit() * (1 - reserve) - requests, memorySlots(target, input));
        return target.slotQuota().allows(freeSlots);
    }

    /** Returns how many requests like this one fit into the memory that is expected to be free. */
    private static double memorySlots(TargetSnapshot target, RoutingInput input) {
        Estimate estimate = target.estimate();
        if (estimate.kvCapacityTokens() <= 0 || estimate.requests() < 1) {
            return Double.MAX_VALUE;
        }
        double usableTokens = estimate.kvCapacityTokens() * (1 - estimate.margin());
        return estimate.forecast().additionalRequests(input.promptTokens(), input.expectedTokens(), usableTokens);
    }

    private static double memoryLoad(TargetSnapshot target, RoutingInput input) {
        Estimate estimate = target.estimate();
        if (estimate.kvCapacityTokens() <= 0) {
            return 0;
        }
        double usableTokens = estimate.kvCapacityTokens() * (1 - estimate.margin());
        return estimate.forecast().peakWith(input.promptTokens(), input.expectedTokens()) / usableTokens;
    }
}
