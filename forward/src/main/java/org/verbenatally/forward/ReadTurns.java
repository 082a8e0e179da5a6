package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.time.TimerService;

/**
 * Tells one instance when to read the list of targets: at its turn, or sooner if what the others tell is too old. A
 * read out of turn does not put off the turn. Otherwise instances that all find the list too old at one moment would
 * read together, have their turns together far off, and find it too old together again.
 */
public final class ReadTurns {
    /** Shortest time between two looks at the age of the list. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(50);

    private final TimerService timer;
    private final ReadPace pace;
    private long nextTurn;
    private long earliestEarlyRead;

    /**
     * Creates turns that begin now.
     *
     * @param pace states how long instances pause
     */
    public ReadTurns(TimerService timer, ReadPace pace) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.pace = Objects.requireNonNull(pace, "pace");
        this.nextTurn = timer.nanos();
        this.earliestEarlyRead = nextTurn;
    }

    /**
     * Notes that the list was read, or that reading it failed.
     *
     * @param members live instances, this one included
     * @param age age of the list that is known, by own reads or by those of others; empty if none is
     */
    public void tried(int members, Optional<Duration> age) {
        long now = timer.nanos();
        long next = now + pace.nextPause(members, age).toNanos();
        // Nobody can tell anything of a source that is down, so that all would ask again as soon as they may.
        earliestEarlyRead =
                pace.timeUntilStale(age).isZero() ? next : now + pace.minPause().toNanos();
        nextTurn = nextTurn - now <= 0 ? next : Math.min(nextTurn, next);
    }

    /** Returns how long to rest before the next look at the age of the list; zero if it is to be read now. */
    public Duration rest(Optional<Duration> age) {
        long now = timer.nanos();
        long rest = Math.min(
                        nextTurn,
                        Math.max(
                                earliestEarlyRead,
                                now + pace.timeUntilStale(age).toNanos()))
                - now;
        if (rest <= 0) {
            return Duration.ZERO;
        }
        long checkPause = Math.max(rest, Math.min(MIN_CHECK_INTERVAL.toNanos(), nextTurn - now));
        return Duration.ofNanos(checkPause);
    }
}
