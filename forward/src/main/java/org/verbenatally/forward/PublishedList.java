package org.verbenatally.forward;

import java.util.List;
import java.util.Objects;

import org.verbenatally.core.SourceRevision;

/**
 * The published list of targets as it was read once.
 *
 * @param revision revision of the source when the read began; targets that are missing had been removed by then
 * @param targets the published targets
 */
public record PublishedList(SourceRevision revision, List<Target> targets) {

    /**
     * One published target.
     *
     * @param target its description
     * @param revision revision of the source at which it was last written
     */
    public record Target(ForwardTarget target, SourceRevision revision) {
        /** Checks that no component is {@code null}. */
        public Target {
            Objects.requireNonNull(target, "target");
            Objects.requireNonNull(revision, "revision");
        }
    }

    /** Checks the revision, and copies the list of targets. */
    public PublishedList {
        Objects.requireNonNull(revision, "revision");
        targets = List.copyOf(targets);
    }
}
