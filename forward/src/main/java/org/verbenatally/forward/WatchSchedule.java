package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;

/**
 * Decides how long the watches of one instance wait, which follow one another. What ends a watch early mostly ends
 * those of all instances at the same moment. The next one then waits for a random part of the usual time, so that the
 * watches of a fleet end one after the other: if their connections have fallen silent, some instance soon opens a new
 * one and passes on what it reads. Not safe for use by several threads.
 */
public final class WatchSchedule {
    private final ReadRate rate;
    private boolean inStep = true;

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
        return inStep ? rate.partialWatchDuration(members) : rate.watchDuration(members);
    }

    /** Records that a watch has waited to its end without a change. */
    public void onExpired() {
        inStep = false;
    }

    /** Records that a watch has ended early, because of a change or a failure. */
    public void onInterrupted() {
        inStep = true;
    }
}
