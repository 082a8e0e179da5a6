package org.verbenatally.forward.evacuation;

import java.util.Objects;

import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.SourceRevision;

/**
 * Whether a failure domain is evacuated.
 *
 * @param domain the failure domain
 * @param revision revision of the source at which the evacuation was written, or found to be missing
 * @param evacuated whether its targets must get no requests
 */
public record Evacuation(FailureDomain domain, SourceRevision revision, boolean evacuated) {

    /** Checks that no component is {@code null}. */
    public Evacuation {
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(revision, "revision");
    }

    /**
     * Returns whether this record replaces another one of the same domain: it is later, or of the same revision and
     * keeps requests away, so that all instances agree whichever record arrives first.
     */
    boolean replaces(Evacuation other) {
        int order = revision.compareTo(other.revision);
        return order > 0 || order == 0 && evacuated && !other.evacuated;
    }
}
