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
 * @param retryAfter delay after which a retry makes sense, if it does
 * @param extraMembers further members of the document
 */
record Problem(
        int status,
        String type,
        String detail,
        Outcome outcome,
        Step step,
        String peer,
        Optional<Duration> retryAfter,
        JsonObject extraMembers) {

    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;

    Problem {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(outcome, "outcome");
        Objects.requireNonNull(step, "step");
    }

    /** Returns a problem with the outcome {@code NOT_RUN} and the caller as its peer. */
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

    /** Returns a copy with another instance or target as the peer. */
    Problem withPeer(String otherPeer) {
        return new Problem(status, type, detail, outcome, step, otherPeer, retryAfter, extraMembers);
    }

    Problem withOutcome(Outcome otherOutcome) {
        return new Problem(status, type, detail, otherOutcome, step, peer, retryAfter, extraMembers);
    }

    Problem withRetryAfter(Duration delay) {
        return new Problem(status, type, detail, outcome, step, peer, Optional.of(delay), extraMembers);
    }

    Problem withMember(String member, Object value) {
        return new Problem(
                status,
                type,
                detail,
                outcome,
                step,
                peer,
                retryAfter,
                extraMembers.copy().put(member, value));
    }

    /** Returns the document as JSON. */
    JsonObject json(String requestId) {
        JsonObject json = new JsonObject()
                .put("type", type)
                .put("title", type.replace('-', ' '))
                .put("status", status)
                .put("detail", detail)
                .put("outcome", outcome.text())
                .put("step", step.text())
                .put("peer", peer)
                .put("request", requestId);
        retryAfter.ifPresent(delay -> json.put("retryAfterMs", delay.toMillis()));
        return json.mergeIn(extraMembers);
    }
}
