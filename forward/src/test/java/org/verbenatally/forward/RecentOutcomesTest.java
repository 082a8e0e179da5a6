package org.verbenatally.forward;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RecentOutcomesTest {
    /** Guards against counts that depend on the origin of the monotonic clock, which may lie in the future. */
    @ParameterizedTest
    @ValueSource(longs = {-1_000_000, 0, 1_000_000})
    void countsDecayForAnyClockOrigin(long startSeconds) {
        long start = TimeUnit.SECONDS.toNanos(startSeconds);
        var outcomes = new RecentOutcomes();
        outcomes.add(true, start);
        outcomes.add(false, start);
        assertThat(outcomes.failures(start)).isEqualTo(1);
        assertThat(outcomes.responses(start)).isEqualTo(2);
        assertThat(outcomes.failures(start + TimeUnit.SECONDS.toNanos(20))).isZero();
    }
}
