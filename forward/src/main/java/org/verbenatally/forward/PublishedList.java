package org.verbenatally.forward;

import java.util.List;
import java.util.Objects;

/**
 * The published list of targets as it was read once.
 *
 * @param revision revision of the source when the read began; targets that are missing had been removed by then
 * @param targets the published targets
 */
public record PublishedList(long revision, List<Target> targets) {

    /**
     * One published target.
     *
     * @param target its description
     * @param revision revision of the source at which it was last written
     */
    public record Target(ForwardTarget target, long revision) {
        /** Checks that the target is not {@code null}. */
        public Target {
            Objects.requireNonNull(target, "target");
        }
    }

    /** Copies the list of targets. */
    public PublishedList {
        targets = List.copyOf(targets);
    }
}
