package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.time.TimerService;

/**
 * Decides when one instance reads the list of targets: at a scheduled time, or sooner if what the others pass on is
 * stale. An early read does not postpone the scheduled one. Otherwise instances that all find the list stale at the
 * same moment would read together, have their next scheduled reads together far ahead, and find the list stale
 * together again.
 */
public final class ReadSchedule {
    /** Shortest time between two checks of the age of the list. */
    private static final Duration MIN_CHECK_INTERVAL = Duration.ofMillis(50);

    private final TimerService timer;
    private final ReadRate rate;
    private long nextScheduled;
    private long earliestEarlyRead;

    /**
     * Creates a schedule whose first read is due now.
     *
     * @param rate determines the pauses between reads
     */
    public ReadSchedule(TimerService timer, ReadRate rate) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.rate = Objects.requireNonNull(rate, "rate");
        this.nextScheduled = timer.nanos();
        this.earliestEarlyRead = nextScheduled;
    }

    /**
     * Records that the list was read, or that reading it failed.
     *
     * @param members live instances, this one included
     * @param age age of the known list, by own reads or those of others; empty if none is known
     */
    public void recordRead(int members, Optional<Duration> age) {
        long now = timer.nanos();
        long next = now + rate.nextPause(members, age).toNanos();
        // While the source is down there are no updates to pass on, so all instances would read again as soon as they
        // may.
        earliestEarlyRead =
                rate.timeUntilStale(age).isZero() ? next : now + rate.minPause().toNanos();
        nextScheduled = nextScheduled - now <= 0 ? next : Math.min(nextScheduled, next);
    }

    /** Returns how long to wait before the next check of the age of the list; zero if the list is to be read now. */
    public Duration timeUntilNextCheck(Optional<Duration> age) {
        long now = timer.nanos();
        long untilRead = Math.min(
                        nextScheduled,
                        Math.max(
                                earliestEarlyRead,
                                now + rate.timeUntilStale(age).toNanos()))
                - now;
        if (untilRead <= 0) {
            return Duration.ZERO;
        }
        long untilCheck = Math.max(untilRead, Math.min(MIN_CHECK_INTERVAL.toNanos(), nextScheduled - now));
        return Duration.ofNanos(untilCheck);
    }
}
