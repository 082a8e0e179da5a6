package org.verbenatally.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * Failure that crosses module boundaries. It names the step and the peer at which it occurred, and what is known about
 * the request. Futures fail with it.
 */
public final class StepException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final Step step;
    private final String peer;
    private final Outcome outcome;
    private final transient Duration retryAfter;

    /**
     * Creates an exception.
     *
     * @param step step at which it occurred
     * @param peer name of the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     */
    public StepException(Step step, String peer, Outcome outcome, String message) {
        this(step, peer, outcome, message, null);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param step step at which it occurred
     * @param peer name of the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     * @param cause the underlying failure, or {@code null}
     */
    public StepException(Step step, String peer, Outcome outcome, String message, Throwable cause) {
        this(step, peer, outcome, message, cause, null);
    }

    /**
     * Creates an exception that states the delay after which a retry makes sense.
     *
     * @param step step at which it occurred
     * @param peer name of the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     * @param cause the underlying failure, or {@code null}
     * @param retryAfter delay after which a retry makes sense, or {@code null}
     */
    public StepException(
            Step step, String peer, Outcome outcome, String message, Throwable cause, Duration retryAfter) {
        super(message, cause);
        this.step = Objects.requireNonNull(step, "step");
        this.peer = Objects.requireNonNull(peer, "peer");
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.retryAfter = retryAfter;
    }

    /** Returns the step at which the failure occurred. */
    public Step step() {
        return step;
    }

    /** Returns the name of the instance, target or caller on the other side. */
    public String peer() {
        return peer;
    }

    /** Returns what is known about the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns the delay after which a retry makes sense, if it does at all. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
