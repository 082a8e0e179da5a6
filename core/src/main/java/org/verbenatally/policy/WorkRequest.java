package org.verbenatally.policy;

import java.util.Objects;
import java.util.Set;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;

/**
 * A request for a target, made for one attempt.
 *
 * @param kind the kind of work
 * @param organisation the organisation that the work belongs to
 * @param promptTokens estimated length of the prompt, in tokens; 0 for plain services
 * @param prefixHash hash of the leading part of the prompt, 0 if it has none; equal prefixes share cached memory
 * @param fingerprint identifies equal requests
 * @param deadlineNanos deadline on the timer service's monotonic clock, in nanoseconds
 * @param excludedTargets targets that must not be chosen, for example those of earlier attempts
 */
public record WorkRequest(
        Kind kind,
        Organisation organisation,
        int promptTokens,
        long prefixHash,
        Fingerprint fingerprint,
        long deadlineNanos,
        Set<TargetId> excludedTargets) {

    /**
     * Checks the components and copies the excluded targets.
     *
     * @throws IllegalArgumentException if the prompt length is negative
     */
    public WorkRequest {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(fingerprint, "fingerprint");
        if (promptTokens < 0) {
            throw new IllegalArgumentException("promptTokens must not be negative: " + promptTokens);
        }
        excludedTargets = Set.copyOf(excludedTargets);
    }

    /** Returns what the request has in common with others that are not equal to it: the start of its prompt. */
    public Set<Trait> traits() {
        return prefixHash == 0 ? Set.of() : Set.of(Trait.ofPrefix(prefixHash));
    }
}
