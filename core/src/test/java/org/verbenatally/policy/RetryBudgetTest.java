package org.verbenatally.policy;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RetryBudgetTest {

    /** Guards against retries beyond the share of successes, which turn a fault into an overload. */
    @Property(seed = "11", tries = 200)
    void retriesNeverExceedTheShareOfSuccesses(
            @ForAll List<Boolean> retries,
            @ForAll @DoubleRange(min = 0, max = 1) double share,
            @ForAll @IntRange(min = 1, max = 20) int maxRetries) {
        RetryBudget budget = new RetryBudget(share, maxRetries);
        int successes = 0;
        int granted = 0;
        for (boolean retry : retries) {
            if (retry) {
                granted += budget.tryWithdraw() ? 1 : 0;
            } else {
                budget.deposit();
                successes++;
            }
            assertThat(budget.available()).isBetween(0L, (long) maxRetries);
            assertThat(granted).isLessThanOrEqualTo((int) (maxRetries + (share + 0.001) * successes));
        }
    }

    /** The operations that lincheck interleaves. */
    public static class Concurrent {
        private final RetryBudget budget = new RetryBudget(1, 2);

        @Operation
        public void deposit() {
            budget.deposit();
        }

        @Operation
        public boolean tryWithdraw() {
            return budget.tryWithdraw();
        }

        @Operation
        public long available() {
            return budget.available();
        }
    }

    /** Guards against a lost update that grants one retry twice. */
    @Test
    void isLinearizable() {
        new ModelCheckingOptions()
                .iterations(20)
                .threads(3)
                .actorsPerThread(3)
                .invocationsPerIteration(500)
                .check(Concurrent.class);
    }
}
