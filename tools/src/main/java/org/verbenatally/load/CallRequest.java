package org.verbenatally.load;

import java.util.Objects;

import io.vertx.core.json.JsonObject;

/**
 * A piece of work that a caller wants done.
 *
 * @param work id of the work; request ids of its copies start with it
 * @param kind kind of work
 * @param organisation organisation of the caller
 * @param credential its credential
 * @param body body of the request
 * @param stream whether the answer comes token by token
 * @param repeatable whether a second run does no harm; other work is sent with an idempotency key
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

    /** Checks that the parts are present. */
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
     * Returns a request for an engine kind.
     *
     * @param length output length that the engine stand-in is to produce, in tokens
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

    /** Returns a request for a kind of a plain service; {@code work} is in the body. */
    public static CallRequest call(
            String work, String kind, String organisation, String credential, boolean repeatable, long deadlineMs) {
        JsonObject body = new JsonObject().put("work", work);
        return new CallRequest(work, kind, organisation, credential, body, false, repeatable, deadlineMs);
    }
}
