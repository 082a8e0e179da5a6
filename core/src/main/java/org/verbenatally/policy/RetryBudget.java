package org.verbenatally.policy;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Allows retries as a share of successes: each success adds a fraction of a token, each retry takes a whole one. The
 * balance never falls below zero and never exceeds the bound. Safe for use by several threads.
 */
public final class RetryBudget {
    private static final long UNITS = 1000;

    private final AtomicLong balance;
    private final long share;
    private final long bound;

    /**
     * Creates a full budget.
     *
     * @param sharePerSuccess retries allowed for each success, 0 to 1
     * @param bound most retries that can be saved up; also the initial balance
     * @throws IllegalArgumentException if the share is not in 0 to 1 or the bound is not positive
     */
    public RetryBudget(double sharePerSuccess, int bound) {
        if (!(sharePerSuccess >= 0 && sharePerSuccess <= 1) || bound < 1) {
            throw new IllegalArgumentException("share must be 0 to 1 and bound positive");
        }
        this.share = Math.round(sharePerSuccess * UNITS);
        this.bound = bound * UNITS;
        this.balance = new AtomicLong(this.bound);
    }

    /** Adds the share of one success. */
    public void success() {
        balance.accumulateAndGet(share, (old, add) -> Math.min(bound, old + add));
    }

    /** Takes one retry if the balance allows it. */
    public boolean tryRetry() {
        return balance.getAndUpdate(old -> old >= UNITS ? old - UNITS : old) >= UNITS;
    }

    /** Returns one retry that was taken but not used. */
    public void giveBack() {
        balance.accumulateAndGet(UNITS, (old, add) -> Math.min(bound, old + add));
    }

    /** Returns the whole retries that the balance allows. */
    public long available() {
        return balance.get() / UNITS;
    }
}
