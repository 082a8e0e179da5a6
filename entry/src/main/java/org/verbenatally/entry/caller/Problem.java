package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;

/**
 * A problem document (RFC 9457).
 *
 * @param status HTTP status
 * @param type short name of the problem, a relative URI reference
 * @param detail one short sentence
 * @param outcome what is known about the request
 * @param step where the problem arose
 * @param peer the instance, target or caller on the other side
 * @param retryAfter when a new try makes sense, if it does
 * @param extra further members
 */
record Problem(
        int status,
        String type,
        String detail,
        Outcome outcome,
        Step step,
        String peer,
        Optional<Duration> retryAfter,
        JsonObject extra) {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    Problem {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(step, "step");
    }

    /** Returns a refusal of something that the caller sent. */
    static Problem refused(int status, String type, Step step, String detail) {
        return new Problem(status, type, detail, Outcome.NOT_RUN, step, "caller", Optional.empty(), new JsonObject());
    }

    /** Returns the problem document of an error from another module. */
    static Problem of(StepException e) {
        int status = e.outcome() == Outcome.NOT_RUN || e.step() == Step.FORWARD ? UNAVAILABLE : BAD_GATEWAY;
        String type =
                switch (e.step()) {
                    case ADMIT -> "overloaded";
                    case ROUTE -> "no-target";
                    case FORWARD -> "owner-unreachable";
                    default -> "target-failed";
                };
        return new Problem(
                status, type, e.getMessage(), e.outcome(), e.step(), e.peer(), e.retryAfter(), new JsonObject());
    }

    /** Returns the problem with another instance or target on the other side. */
    Problem at(String other) {
        return new Problem(status, type, detail, outcome, step, other, retryAfter, extra);
    }

    Problem withOutcome(Outcome other) {
        return new Problem(status, type, detail, other, step, peer, retryAfter, extra);
    }

    Problem withRetryAfter(Duration delay) {
        return new Problem(status, type, detail, outcome, step, peer, Optional.of(delay), extra);
    }

    Problem with(String member, Object value) {
        return new Problem(
                status,
                type,
                detail,
                outcome,
                step,
                peer,
                retryAfter,
                extra.copy().put(member, value));
    }

    JsonObject json(String request) {
        JsonObject json = new JsonObject()
                .put("type", type)
                .put("title", type.replace('-', ' '))
                .put("status", status)
                .put("detail", detail)
                .put("outcome", outcome.text())
                .put("step", step.text())
                .put("peer", peer)
                .put("request", request);
        retryAfter.ifPresent(delay -> json.put("retryAfterMs", delay.toMillis()));
        return json.mergeIn(extra);
    }
}
