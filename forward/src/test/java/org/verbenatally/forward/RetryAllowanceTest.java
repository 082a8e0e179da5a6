package org.verbenatally.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.Targets.SERVICE;

class RetryAllowanceTest {
    private static final int INSTANCES = 8;

    private final ManualTimer timer = new ManualTimer();

    /** Pattern: every request fails. Guards against instances that together retry more often than the rule allows. */
    @Test
    void instancesTogetherStayWithinRule() {
        var rule = new RetryAllowance.Rule(0.2, Duration.ofSeconds(10), 56);
        int retries = 0;
        int firstSends = 0;
        for (int instance = 0; instance < INSTANCES; instance++) {
            RetryAllowance allowance = new RetryAllowance(timer, rule, () -> INSTANCES);
            for (int i = 0; i < 40; i++) {
                allowance.countFirstSend(SERVICE);
                firstSends++;
                retries += allowance.tryRetry(SERVICE) ? 1 : 0;
            }
        }
        assertThat(retries).isPositive().isLessThanOrEqualTo((int) (0.2 * firstSends + 56));
    }

    /** Guards against an allowance that does not become available again. */
    @Test
    void retriesAreAllowedAgainAfterWindow() {
        var rule = new RetryAllowance.Rule(0, Duration.ofSeconds(10), 2);
        RetryAllowance allowance = new RetryAllowance(timer, rule, () -> 1);
        assertThat(allowance.tryRetry(SERVICE)).isTrue();
        assertThat(allowance.tryRetry(SERVICE)).isFalse();
        timer.advance(Duration.ofSeconds(11));
        assertThat(allowance.tryRetry(SERVICE)).isTrue();
    }
}
