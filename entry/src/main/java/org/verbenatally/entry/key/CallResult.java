package org.verbenatally.entry.key;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;

/**
 * The final result of a keyed call.
 *
 * @param outcome what is known about the call
 * @param status HTTP status of the target's response; 0 if there is none
 * @param body body of the target's response; empty if there is none
 * @param step the step at which the call failed, if it did
 * @param peer name of the target or instance involved; empty if none
 * @param message why the call failed, or why the body is missing; otherwise empty
 */
public record CallResult(Outcome outcome, int status, byte[] body, Optional<Step> step, String peer, String message) {
    private static final byte[] NONE = {};

    /** Checks that no required component is null. */
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(step, "step");
    }

    /** Returns the result of a call to which the target responded. */
    public static CallResult completed(int status, byte[] body, String peer) {
        return new CallResult(Outcome.DONE, status, body, Optional.empty(), peer, "");
    }

    /** Returns the result of a call that failed. */
    public static CallResult failed(Outcome outcome, Step step, String peer, String message) {
        return new CallResult(outcome, 0, NONE, Optional.of(step), peer, message);
    }

    /** Returns this result without the body of the target's response. */
    CallResult withoutBody() {
        return new CallResult(outcome, status, NONE, step, peer, "the response is no longer stored");
    }
}
