package org.verbenatally.policy;

import java.util.Objects;
import java.util.Set;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.core.TargetId;

/**
 * One attempt that asks for a target.
 *
 * @param kind the kind of work
 * @param organisation whose work it is
 * @param promptTokens estimated length of the prompt, in tokens; 0 for plain services
 * @param prefixHash hash of the leading part of the prompt, 0 if it has none; equal prefixes share cached memory
 * @param fingerprint identifies equal requests
 * @param deadlineNanos deadline on the timer service's monotonic clock, in nanoseconds
 * @param exclude targets that must not be chosen, for example those of earlier attempts
 */
public record WorkRequest(
        Kind kind,
        Organisation organisation,
        int promptTokens,
        long prefixHash,
        Fingerprint fingerprint,
        long deadlineNanos,
        Set<TargetId> exclude) {

    /**
     * Checks the parts and copies the excluded targets.
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
        exclude = Set.copyOf(exclude);
    }
}
