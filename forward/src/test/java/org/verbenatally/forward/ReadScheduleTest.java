package org.verbenatally.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class ReadScheduleTest {
    private static final Duration STALE = Duration.ofMillis(2_400);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final int STEPS_PER_SECOND = 20;
    private static final int SECONDS = 60;
    private static final int NEIGHBOURS_PER_INSTANCE = 3;

    private final ManualTimer timer = new ManualTimer();

    /** An instance that reports to its neighbours each second how old the newest read is that it knows of. */
    private final class Instance {
        private final ReadSchedule schedule;
        private final Set<Instance> neighbours = new LinkedHashSet<>();
        private Optional<Long> known = Optional.empty();
        private long nextCheck;

        Instance(Random random) {
            schedule = new ReadSchedule(timer, new ReadRate(STALE, random::nextDouble));
        }

        Optional<Duration> age() {
            return known.map(at -> Duration.ofNanos(timer.nanos() - at));
        }

        void receive(Optional<Long> other) {
            if (other.isPresent() && (known.isEmpty() || other.get() > known.get())) {
                known = other;
            }
        }

        /** Reads if it is time to; returns whether it has read. */
        boolean step(int members, boolean reachable) {
            if (timer.nanos() < nextCheck) {
                return false;
            }
            Duration wait = schedule.timeUntilNextCheck(age());
            boolean read = wait.isZero();
            if (read) {
                receive(reachable ? Optional.of(timer.nanos()) : Optional.empty());
                schedule.recordRead(members, age());
                wait = schedule.timeUntilNextCheck(age());
            }
            nextCheck = timer.nanos() + wait.toNanos();
            return read;
        }
    }

    private List<Instance> fleet(int members, Random random) {
        List<Instance> fleet = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            fleet.add(new Instance(random));
        }
        for (Instance instance : fleet) {
            for (int i = 0; i < NEIGHBOURS_PER_INSTANCE; i++) {
                Instance other = fleet.get(random.nextInt(members));
                instance.neighbours.add(other);
                other.neighbours.add(instance);
            }
        }
        return fleet;
    }

    /**
     * Pattern: a large fleet whose instances were started at the same moment and whose updates take seconds to reach
     * all. Guards against instances that find the list stale together, read it together, and so stay in step for ever.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void fleetStartedTogetherDoesNotReadInUnison(long seed) {
        Random random = new Random(seed);
        List<Instance> fleet = fleet(95, random);
        int reads = 0;
        for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
            for (int i = 0; i < fleet.size(); i++) {
                Instance instance = fleet.get(i);
                boolean read = instance.step(fleet.size(), true);
                if (read && step > 10 * STEPS_PER_SECOND) {
                    reads++;
                }
                if (step % STEPS_PER_SECOND == i % STEPS_PER_SECOND) {
                    instance.neighbours.forEach(n -> n.receive(instance.known));
                }
                assertThat(instance.age())
                        .hasValueSatisfying(age -> assertThat(age).isLessThanOrEqualTo(STALE.plusSeconds(1)));
            }
            timer.advance(STEP);
        }
        // About nine reads a second are scheduled; early reads must be fewer than these.
        assertThat(reads / (SECONDS - 10)).as("reads a second").isBetween(8, 18);
    }

    /**
     * Pattern: the source is down for all instances. Guards against an instance that reads each second, and one that
     * gives up.
     */
    @Test
    void unreachableSourceIsReadEveryTwoSeconds() {
        Instance lone = new Instance(new Random(1));
        int attempts = 0;
        for (int step = 0; step < SECONDS * STEPS_PER_SECOND; step++) {
            attempts += lone.step(95, false) ? 1 : 0;
            timer.advance(STEP);
        }
        assertThat(attempts).isBetween(SECONDS / 2, SECONDS);
    }
}
