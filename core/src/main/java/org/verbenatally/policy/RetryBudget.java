package org.verbenatally.policy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a share of successes: each success deposits a fraction of a retry, and each retry withdraws a
 * complete one. The balance never falls below zero and never exceeds its maximum. Safe for use by several threads.
 */
public final class RetryBudget {
    private static final long UNITS_PER_RETRY = 1000;

    private final AtomicLong balanceUnits;
    private final long depositUnits;
    private final long maxUnits;

    /**
     * Creates a full budget.
     *
     * @param sharePerSuccess retries allowed for each success, 0 to 1
     * @param maxRetries most retries that can be saved up; also the initial balance
     * @throws IllegalArgumentException if the share is not between 0 and 1 or the maximum is not positive
     */
    public RetryBudget(double sharePerSuccess, int maxRetries) {
        if (!(sharePerSuccess >= 0 && sharePerSuccess <= 1) || maxRetries < 1) {
            throw new IllegalArgumentException("sharePerSuccess must be between 0 and 1 and maxRetries positive");
        }
        this.depositUnits = Math.round(sharePerSuccess * UNITS_PER_RETRY);
        this.maxUnits = maxRetries * UNITS_PER_RETRY;
        this.balanceUnits = new AtomicLong(this.maxUnits);
    }

    /** Deposits the share of one success. */
    public void deposit() {
        balanceUnits.accumulateAndGet(depositUnits, (current, add) -> Math.min(maxUnits, current + add));
    }

    /** Withdraws one retry if the balance allows it; returns whether it did. */
    public boolean tryWithdraw() {
        return balanceUnits.getAndUpdate(current -> current >= UNITS_PER_RETRY ? current - UNITS_PER_RETRY : current)
                >= UNITS_PER_RETRY;
    }

    /** Returns one retry to the budget that was withdrawn but not used. */
    public void refund() {
        balanceUnits.accumulateAndGet(UNITS_PER_RETRY, (current, add) -> Math.min(maxUnits, current + add));
    }

    /** Returns the number of complete retries that the balance allows. */
    public long available() {
        return balanceUnits.get() / UNITS_PER_RETRY;
    }
}
