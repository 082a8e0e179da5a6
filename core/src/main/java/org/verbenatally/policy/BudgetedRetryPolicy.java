package org.verbenatally.policy;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.rng.simple.ThreadLocalRandomSource;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

/**
 * Retries within a budget per organisation and per target, with exponential delays and full jitter. Work that is not
 * repeatable is never sent again once a byte may have left; nothing is sent again once a part of the answer was
 * delivered.
 */
final class BudgetedRetryPolicy implements RetryPolicy {
    /** Retries add at most a tenth to the load of a target that still answers. */
    private static final double SHARE = 0.1;
    /** Initial allowance, so that the first failures after a start can be retried. */
    private static final int BOUND = 10;

    private static final long FIRST_DELAY_MS = 20;
    private static final long LARGEST_DELAY_MS = 1000;

    private final Map<OrganisationId, RetryBudget> organisations = new ConcurrentHashMap<>();
    private final Map<TargetId, RetryBudget> targets = new ConcurrentHashMap<>();

    private final BooleanSupplier overloaded;

    /** Creates full budgets; there is no retry while {@code overloaded} says so. */
    BudgetedRetryPolicy(BooleanSupplier overloaded) {
        this.overloaded = overloaded;
    }

    @Override
    public Optional<Duration> decide(RetryInput input) {
        if (!mayRunAgain(input) || overloaded.getAsBoolean()) {
            return Optional.empty();
        }
        long ceiling = Math.min(LARGEST_DELAY_MS, FIRST_DELAY_MS << Math.min(10, input.attempts() - 1));
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        Duration delay = Duration.ofMillis(1 + random.nextLong(ceiling));
        if (delay.compareTo(input.timeLeft()) >= 0) {
            return Optional.empty();
        }
        RetryBudget organisation = organisation(input.organisation());
        if (!organisation.tryRetry()) {
            return Optional.empty();
        }
        if (!target(input.target()).tryRetry()) {
            organisation.giveBack();
            return Optional.empty();
        }
        return Optional.of(delay);
    }

    private static boolean mayRunAgain(RetryInput input) {
        if (input.end() == FlightEnd.DONE || input.end() == FlightEnd.CANCELLED || input.delivered()) {
            return false;
        }
        if (input.attempts() >= input.kind().maxAttempts() || input.suspect() && input.attempts() > 1) {
            return false;
        }
        return input.kind().repeatable() || !input.byteMayHaveLeft();
    }

    /** Counts a success, which pays for later retries. */
    void success(OrganisationId organisation, TargetId target) {
        organisation(organisation).success();
        target(target).success();
    }

    private RetryBudget organisation(OrganisationId id) {
        return organisations.computeIfAbsent(id, key -> new RetryBudget(SHARE, BOUND));
    }

    private RetryBudget target(TargetId id) {
        return targets.computeIfAbsent(id, key -> new RetryBudget(SHARE, BOUND));
    }
}
