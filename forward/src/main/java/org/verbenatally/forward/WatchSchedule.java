package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;

/** Decides how long the watches of one instance wait, which follow one another. */
public final class WatchSchedule {
    private final ReadRate rate;

    /**
     * Creates a schedule whose first watch has not begun.
     *
     * @param rate determines the longest watch
     */
    public WatchSchedule(ReadRate rate) {
        this.rate = Objects.requireNonNull(rate, "rate");
    }

    /**
     * Returns how long the next watch waits for a change.
     *
     * @param members live instances, this one included
     */
    public Duration next(int members) {
        return rate.watchDuration(members);
    }

    /** Records that a watch has waited to its end without a change. */
    public void onExpired() {}

    /** Records that a watch has ended early, because of a change or a failure. */
    public void onInterrupted() {}
}
