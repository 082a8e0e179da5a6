package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReadRateTest {
    private static final Duration STALE = Duration.ofSeconds(1);
    private static final Optional<Duration> FRESH = Optional.of(Duration.ofMillis(200));
    private final ReadRate rate = new ReadRate(STALE);

    /**
     * Pattern: a fleet that grows. Guards against a read rate that grows with it, and against noticing late that a
     * target leaves.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 30, 95, 330})
    void fleetReadsAtAConstantRate(int members) {
        double reads = 0;
        for (int i = 0; i < members; i++) {
            reads += 1e9 / rate.nextPause(members, FRESH).toNanos();
        }
        assertThat(reads).isBetween(8.0, 12.0);
        assertThat(members * 1e9 / rate.watchDuration(members).toNanos()).isLessThanOrEqualTo(11);
    }

    /** Guards against an instance that receives no updates and does not read for itself. */
    @ParameterizedTest
    @ValueSource(ints = {1, 95})
    void instanceWithoutUpdatesReadsEachSecond(int members) {
        assertThat(rate.minPause()).isLessThanOrEqualTo(Duration.ofSeconds(1));
        assertThat(rate.timeUntilStale(Optional.empty())).isZero();
        assertThat(rate.timeUntilStale(Optional.of(STALE.plusMillis(1)))).isZero();
        assertThat(rate.timeUntilStale(Optional.of(Duration.ofMillis(400)))).isEqualTo(Duration.ofMillis(600));
        assertThat(rate.nextPause(members, Optional.empty())).isLessThanOrEqualTo(Duration.ofSeconds(2));
    }

    /**
     * Pattern: the source rejects a third of the fleet and serves the others. Guards against instances that keep
     * requesting what their peers pass on.
     */
    @Test
    void rejectedInstancesKeepTheirReadRateWhileOthersSucceed() {
        double reads = 0;
        for (int i = 0; i < 32; i++) {
            reads += 1e9 / rate.nextPause(95, FRESH).toNanos();
        }
        assertThat(reads).isLessThan(4);
        Optional<Duration> stale = Optional.of(STALE.plusMillis(1));
        assertThat(rate.nextPause(95, stale)).isLessThanOrEqualTo(Duration.ofSeconds(2));
    }

    /**
     * Pattern: the watches of all instances are cut while a version is published, as on large scale-1 (1a15df65).
     * Guards against a fleet in which each instance waits for its scheduled read, and none reads the version for
     * seconds.
     */
    @Test
    void configurationIsRetriedWithinOneSecond() {
        for (int failures = 1; failures < 40; failures++) {
            assertThat(rate.retryPause(failures)).isBetween(Duration.ofMillis(100), Duration.ofSeconds(1));
        }
    }
}
