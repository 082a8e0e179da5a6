package org.verbenatally.entry.key;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;

/**
 * The final result of a keyed call.
 *
 * @param outcome what is known about the call
 * @param status HTTP status of the target's answer; 0 if there is none
 * @param body the target's answer, empty if there is none
 * @param step where the call failed, if it did
 * @param peer the target or instance on the other side, empty if none
 * @param message why the call failed, empty if it did not
 */
public record CallResult(Outcome outcome, int status, byte[] body, Optional<Step> step, String peer, String message) {
    private static final byte[] NONE = {};

    /** Checks the parts. */
    public CallResult {
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(body, "body");
        Objects.requireNonNull(step, "step");
    }

    /** Returns the result of a call that the target answered. */
    public static CallResult done(int status, byte[] body, String peer) {
        return new CallResult(Outcome.DONE, status, body, Optional.empty(), peer, "");
    }

    /** Returns the result of a call that failed. */
    public static CallResult failed(Outcome outcome, Step step, String peer, String message) {
        return new CallResult(outcome, 0, NONE, Optional.of(step), peer, message);
    }

    /** Returns the result without the target's answer. */
    CallResult withoutBody() {
        return new CallResult(outcome, status, NONE, step, peer, "the answer is no longer stored");
    }
}
