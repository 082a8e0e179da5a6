package org.verbenatally.load;

import java.util.Objects;

import io.vertx.core.json.JsonObject;

/**
 * A unit of work that a caller sends.
 *
 * @param work id of the work; the request ids of its copies start with it
 * @param kind kind of work
 * @param organisation organisation of the caller
 * @param credential credential of the organisation
 * @param body request body
 * @param stream whether the response is streamed token by token
 * @param repeatable whether the work may safely run more than once; other work is sent with an idempotency key
 * @param deadlineMs deadline, in milliseconds after the send
 */
public record CallRequest(
        String work,
        String kind,
        String organisation,
        String credential,
        JsonObject body,
        boolean stream,
        boolean repeatable,
        long deadlineMs) {

    /** Checks that all components are present and that the deadline is positive. */
    public CallRequest {
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(organisation, "organisation");
        Objects.requireNonNull(credential, "credential");
        Objects.requireNonNull(body, "body");
        if (deadlineMs < 1) {
            throw new IllegalArgumentException("deadline must be positive");
        }
    }

    /**
     * Returns a request for a kind that runs on engines.
     *
     * @param length length of the output that the engine stand-in produces, in tokens
     * @param prefix start of the prompt
     */
    public static CallRequest generation(
            String work,
            String kind,
            String organisation,
            String credential,
            String prefix,
            int length,
            boolean stream,
            long deadlineMs) {
        JsonObject body = new JsonObject()
                .put("prompt", prefix + " [work=" + work + "] [len=" + length + "]")
                .put("maxTokens", length)
                .put("stream", stream);
        return new CallRequest(work, kind, organisation, credential, body, stream, true, deadlineMs);
    }

    /** Returns a request for a kind that runs on a service; the body contains {@code work}. */
    public static CallRequest call(
            String work, String kind, String organisation, String credential, boolean repeatable, long deadlineMs) {
        JsonObject body = new JsonObject().put("work", work);
        return new CallRequest(work, kind, organisation, credential, body, false, repeatable, deadlineMs);
    }
}
