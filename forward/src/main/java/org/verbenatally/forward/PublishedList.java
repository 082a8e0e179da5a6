package org.verbenatally.forward;

import java.util.List;
import java.util.Objects;

/**
 * The published list of targets as it was read once.
 *
 * @param revision revision of the source when the read began; what is missing had been removed by then
 * @param entries the entries
 */
public record PublishedList(long revision, List<Entry> entries) {

    /**
     * One entry.
     *
     * @param target what it says
     * @param revision revision of the source at which it was written last
     */
    public record Entry(ForwardTarget target, long revision) {
        /** Checks that the target is there. */
        public Entry {
            Objects.requireNonNull(target, "target");
        }
    }

    /** Copies the entries. */
    public PublishedList {
        entries = List.copyOf(entries);
    }
}
