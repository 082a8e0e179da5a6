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
 * @param organisation whose work it is
 * @param target the target of the failed attempt
 * @param end how the attempt ended
 * @param attempts attempts made so far, the failed one included
 * @param byteMayHaveLeft whether a byte of the request may have reached a target
 * @param delivered whether a token or byte of the answer was delivered to the caller
 * @param suspect whether the request is suspected of crashing targets
 * @param timeLeft time until the request's deadline
 */
public record RetryInput(
        Kind kind,
        OrganisationId organisation,
        TargetId target,
        FlightEnd end,
        int attempts,
        boolean byteMayHaveLeft,
        boolean delivered,
        boolean suspect,
        Duration timeLeft) {

    /**
     * Checks the parts.
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
