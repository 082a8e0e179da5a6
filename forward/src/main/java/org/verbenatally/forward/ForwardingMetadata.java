package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

/**
 * Metadata that an instance adds to a request when it sends the request to a target.
 *
 * @param target the only target that may run the request
 * @param remaining time until the response is of no more use
 * @param rank admission rank among the generations of an engine
 * @param organisation organisation of the caller
 * @param backup engine that keeps a backup of the generation
 * @param continuation where the generation continues from, if it has started at another engine
 */
public record ForwardingMetadata(
        TargetId target,
        Duration remaining,
        AdmissionRank rank,
        Optional<OrganisationId> organisation,
        Optional<Address> backup,
        Optional<Continuation> continuation) {

    /**
     * Where a generation continues from.
     *
     * @param holder engine that holds the copy
     * @param copyId id of the copy there
     * @param lastEvent id of the last event that the caller has received; empty if none
     */
    public record Continuation(Address holder, String copyId, Optional<String> lastEvent) {}

    /** Checks that the target and the remaining time are not {@code null}. */
    public ForwardingMetadata {
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(remaining, "remaining");
    }
}
