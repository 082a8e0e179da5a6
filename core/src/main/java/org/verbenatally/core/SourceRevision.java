package org.verbenatally.core;

import java.util.Comparator;

/**
 * A point in the history of an outside source that numbers its changes. A source that is restored from a copy gives out
 * revisions again; it then starts a new epoch, and all revisions of an epoch are later than those of earlier ones.
 *
 * @param epoch number of restores of the source so far, or the like; not negative, and 0 if the source states none
 * @param number number of the change within the epoch
 */
public record SourceRevision(long epoch, long number) implements Comparable<SourceRevision> {
    private static final Comparator<SourceRevision> ORDER =
            Comparator.comparingLong(SourceRevision::epoch).thenComparingLong(SourceRevision::number);

    /**
     * Checks the epoch.
     *
     * @throws IllegalArgumentException if the epoch is negative
     */
    public SourceRevision {
        if (epoch < 0) {
            throw new IllegalArgumentException("epoch must not be negative: " + epoch);
        }
    }

    /** Returns whether this revision is later than another one. */
    public boolean isAfter(SourceRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(SourceRevision other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
