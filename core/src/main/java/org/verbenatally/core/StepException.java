package org.verbenatally.core;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * The error that crosses module boundaries: it names the step and the peer at which it arose, and what is known about
 * the request. Futures fail with it.
 */
public final class StepException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final Step step;
    private final String peer;
    private final Outcome outcome;
    private final transient Duration retryAfter;

    /**
     * Creates an error.
     *
     * @param step where it arose
     * @param peer the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     */
    public StepException(Step step, String peer, Outcome outcome, String message) {
        this(step, peer, outcome, message, null);
    }

    /**
     * Creates an error with a cause.
     *
     * @param step where it arose
     * @param peer the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     * @param cause the underlying failure, or {@code null}
     */
    public StepException(Step step, String peer, Outcome outcome, String message, Throwable cause) {
        this(step, peer, outcome, message, cause, null);
    }

    /**
     * Creates an error that says when a new try makes sense.
     *
     * @param step where it arose
     * @param peer the instance, target or caller on the other side
     * @param outcome what is known about the request
     * @param message one short sentence
     * @param cause the underlying failure, or {@code null}
     * @param retryAfter when a new try makes sense, or {@code null}
     */
    public StepException(
            Step step, String peer, Outcome outcome, String message, Throwable cause, Duration retryAfter) {
        super(message, cause);
        this.step = Objects.requireNonNull(step, "step");
        this.peer = Objects.requireNonNull(peer, "peer");
        this.outcome = Objects.requireNonNull(outcome, "outcome");
        this.retryAfter = retryAfter;
    }

    /** Returns the step at which the error arose. */
    public Step step() {
        return step;
    }

    /** Returns the name of the other side. */
    public String peer() {
        return peer;
    }

    /** Returns what is known about the request. */
    public Outcome outcome() {
        return outcome;
    }

    /** Returns when a new try makes sense, if it does. */
    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(retryAfter);
    }
}
