package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.time.TimerService;

/**
 * Decides when one instance reads the list of targets: at its turn, or sooner if what the others pass on is stale. A
 * read out of turn does not postpone the turn. Otherwise instances that all find the list stale at the same moment
 * would read together, have their next turns together far ahead, and find the list stale together again.
 */
public final class ReadTurns {
    /** Shortest time between two checks of the age of the list. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(50);

    private final TimerService timer;
    private final ReadRate rate;
    private long nextTurn;
    private long earliestEarlyRead;

    /**
     * Creates turns that begin now.
     *
     * @param rate determines the pauses between reads
     */
    public ReadTurns(TimerService timer, ReadRate rate) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.rate = Objects.requireNonNull(rate, "rate");
        this.nextTurn = timer.nanos();
        this.earliestEarlyRead = nextTurn;
    }

    /**
     * Records that the list was read, or that reading it failed.
     *
     * @param members live instances, this one included
     * @param age age of the known list, by own reads or those of others; empty if none is known
     */
    public void tried(int members, Optional<Duration> age) {
        long now = timer.nanos();
        long next = now + rate.nextPause(members, age).toNanos();
        // While the source is down there are no updates to pass on, so all instances would read again as soon as they
        // may.
        earliestEarlyRead =
                rate.timeUntilStale(age).isZero() ? next : now + rate.minPause().toNanos();
        nextTurn = nextTurn - now <= 0 ? next : Math.min(nextTurn, next);
    }

    /** Returns how long to wait before the next check of the age of the list; zero if the list is to be read now. */
    public Duration rest(Optional<Duration> age) {
        long now = timer.nanos();
        long rest = Math.min(
                        nextTurn,
                        Math.max(
                                earliestEarlyRead,
                                now + rate.timeUntilStale(age).toNanos()))
                - now;
        if (rest <= 0) {
            return Duration.ZERO;
        }
        long checkPause = Math.max(rest, Math.min(MIN_CHECK_INTERVAL.toNanos(), nextTurn - now));
        return Duration.ofNanos(checkPause);
    }
}
