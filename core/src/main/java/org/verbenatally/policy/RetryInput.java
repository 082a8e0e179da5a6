package org.verbenatally.policy;

import java.time.Duration;
import java.util.Objects;

import org.verbenatally.config.Kind;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.TargetId;

/**
 * Input of a retry decision.
 *
 * @param kind the kind of work
 * @param organisation the organisation that the work belongs to
 * @param target the target of the failed attempt
 * @param end how the attempt ended
 * @param attempts attempts made so far, including the failed one
 * @param mayHaveRun whether the target may have run the request: a byte of it may have been sent, and the target did
 *     not refuse it
 * @param delivered whether a token or byte of the response was delivered to the caller
 * @param suspect whether the request is suspected of crashing targets
 * @param remainingTime time until the request's deadline
 */
public record RetryInput(
        Kind kind,
        OrganisationId organisation,
        TargetId target,
        AttemptEnd end,
        int attempts,
        boolean mayHaveRun,
        boolean delivered,
        boolean suspect,
        Duration remainingTime) {

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if no attempt was made
     */
    public RetryInput {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(end, "end");
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be positive: " + attempts);
        }
    }
}
