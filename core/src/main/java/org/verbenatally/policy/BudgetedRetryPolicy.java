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
 * Retries within a budget per organisation and per target, with exponential backoff and full jitter. Work that is not
 * repeatable is never retried once a byte of it may have reached a target, and nothing is retried once part of the
 * response has been delivered.
 */
final class BudgetedRetryPolicy implements RetryPolicy {
    /**
     * Retries earned by each success, so that retries add at most a tenth to the load of a target that still responds.
     */
    private static final double RETRIES_PER_SUCCESS = 0.1;
    /** Largest and initial balance, in retries, so that the first failures after a start can be retried. */
    private static final int MAX_BALANCE = 10;

    private static final long BASE_DELAY_MS = 20;
    private static final long MAX_DELAY_MS = 1000;

    private final Map<OrganisationId, RetryBudget> organisationBudgets = new ConcurrentHashMap<>();
    private final Map<TargetId, RetryBudget> targetBudgets = new ConcurrentHashMap<>();

    private final BooleanSupplier overloaded;

    /** Creates full budgets; nothing is retried while {@code overloaded} returns true. */
    BudgetedRetryPolicy(BooleanSupplier overloaded) {
        this.overloaded = overloaded;
    }

    @Override
    public Optional<Duration> decide(RetryInput input) {
        if (!isRetryable(input) || overloaded.getAsBoolean()) {
            return Optional.empty();
        }
        long maxDelayMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS << Math.min(10, input.attempts() - 1));
        UniformRandomProvider random = ThreadLocalRandomSource.current(RandomSource.XO_RO_SHI_RO_128_PP);
        Duration delay = Duration.ofMillis(1 + random.nextLong(maxDelayMs));
        if (delay.compareTo(input.remainingTime()) >= 0) {
            return Optional.empty();
        }
        RetryBudget organisationBudget = organisationBudget(input.organisation());
        if (!organisationBudget.tryWithdraw()) {
            return Optional.empty();
        }
        if (!targetBudget(input.target()).tryWithdraw()) {
            organisationBudget.refund();
            return Optional.empty();
        }
        return Optional.of(delay);
    }

    private static boolean isRetryable(RetryInput input) {
        if (input.end() == AttemptEnd.DONE || input.end() == AttemptEnd.CANCELLED || input.delivered()) {
            return false;
        }
        if (input.attempts() >= input.kind().maxAttempts() || input.suspect() && input.attempts() > 1) {
            return false;
        }
        return input.kind().repeatable() || !input.mayHaveRun();
    }

    /** Counts a success, which earns a part of a later retry. */
    void recordSuccess(OrganisationId organisation, TargetId target) {
        organisationBudget(organisation).deposit();
        targetBudget(target).deposit();
    }

    private RetryBudget organisationBudget(OrganisationId id) {
        return organisationBudgets.computeIfAbsent(id, key -> new RetryBudget(RETRIES_PER_SUCCESS, MAX_BALANCE));
    }

    private RetryBudget targetBudget(TargetId id) {
        return targetBudgets.computeIfAbsent(id, key -> new RetryBudget(RETRIES_PER_SUCCESS, MAX_BALANCE));
    }
}
