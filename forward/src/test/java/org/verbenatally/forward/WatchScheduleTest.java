package org.verbenatally.forward;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class WatchScheduleTest {
    private static final long SEED = 7;
    private static final int TRIALS = 1_000;
    /** Time after a disruption from which changes must be in force in time again. */
    private static final Duration SETTLING = Duration.ofSeconds(3);
    /** Time in which a change must be in force. */
    private static final Duration BOUND = Duration.ofSeconds(2);
    /** Time that the instances need to pass on a change that one of them has read. */
    private static final Duration PROPAGATION = Duration.ofMillis(400);
    /** Time beyond the end of a watch after which it is given up. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Pattern: a change ends the watches of all instances at the same moment, and later their connections fall silent.
     * Guards against a fleet in which no instance notices before the next change is due.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 8, 30, 88, 330})
    void someInstanceNoticesSilentWatches(int members) {
        Random random = new Random(SEED);
        for (int trial = 0; trial < TRIALS; trial++) {
            long silentFrom = random.nextLong(Duration.ofSeconds(60).toNanos());
            long noticed = Long.MAX_VALUE;
            for (int instance = 0; instance < members; instance++) {
                noticed = Math.min(noticed, noticedAt(silentFrom, members, random));
            }
            assertThat(Duration.ofNanos(noticed - silentFrom))
                    .isLessThanOrEqualTo(SETTLING.plus(BOUND).minus(PROPAGATION));
        }
    }

    /** Returns when an instance whose first watch begins at 0 notices that its present watch is silent. */
    private static long noticedAt(long silentFrom, int members, Random random) {
        WatchSchedule schedule = new WatchSchedule(new ReadRate(Duration.ofSeconds(1), random::nextDouble));
        schedule.onInterrupted();
        long end = schedule.next(members).toNanos();
        while (end < silentFrom) {
            schedule.onExpired();
            end += schedule.next(members).toNanos();
        }
        return end + RESPONSE_TIMEOUT.toNanos();
    }
}
