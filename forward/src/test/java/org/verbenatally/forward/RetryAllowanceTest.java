package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;

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
                retries += allowance.tryRetry(SERVICE).isPresent() ? 1 : 0;
            }
        }
        assertThat(retries).isPositive().isLessThanOrEqualTo((int) (0.2 * firstSends + 56));
    }

    /** Guards against an allowance that does not become available again. */
    @Test
    void retriesAreAllowedAgainAfterWindow() {
        var rule = new RetryAllowance.Rule(0, Duration.ofSeconds(10), 2);
        RetryAllowance allowance = new RetryAllowance(timer, rule, () -> 1);
        assertThat(allowance.tryRetry(SERVICE)).isPresent();
        assertThat(allowance.tryRetry(SERVICE)).isEmpty();
        timer.advance(Duration.ofSeconds(11));
        assertThat(allowance.tryRetry(SERVICE)).isPresent();
    }

    /** Guards against sends that were not made and still count, or are taken out of the count twice. */
    @Test
    void cancelledSendsDoNotCount() {
        var rule = new RetryAllowance.Rule(0, Duration.ofSeconds(10), 3);
        RetryAllowance allowance = new RetryAllowance(timer, rule, () -> 1);
        RetryAllowance.Permit unused = allowance.tryRetry(SERVICE).orElseThrow();
        assertThat(allowance.tryRetry(SERVICE)).isPresent();
        assertThat(allowance.tryRetry(SERVICE)).isEmpty();
        unused.cancel();
        unused.cancel();
        assertThat(allowance.retries()).isEqualTo(1);
        assertThat(allowance.tryRetry(SERVICE)).isPresent();
        assertThat(allowance.tryRetry(SERVICE)).isEmpty();
        timer.advance(Duration.ofSeconds(11));
        assertThat(allowance.retries()).isZero();
    }

    /** Guards against more retries than the rule allows, since requests that no target accepts count as first sends. */
    @Test
    void requestThatWasNeverSentDoesNotCount() throws Exception {
        try (var fixture = new ForwardFixture();
                var call = new RawTarget((head, out, socket) -> false);
                var engine = new RawTarget((head, out, socket) -> false)) {
            call.close();
            engine.close();
            fixture.configure(1);
            fixture.publish("a", ForwardFixture.CALLS, call);
            fixture.publish("b", ForwardFixture.ENGINES, engine);
            for (String path : List.of("/once/x", "/repeat/x", "/stream/x")) {
                assertThat(fixture.send(fixture.request(path, path).build()).statusCode())
                        .isEqualTo(503);
            }
            assertThat(fixture.awaitGauge("verbenatally_sends_first", 0)).isZero();
            assertThat(fixture.awaitGauge("verbenatally_sends_retries", 0)).isZero();
        }
    }
}
