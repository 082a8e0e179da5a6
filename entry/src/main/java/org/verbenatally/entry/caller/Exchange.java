package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;

import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.Organisation;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.entry.operator.RequestTrace;
import org.verbenatally.time.TimedAwait;

/** One HTTP request of a caller and the response to it. Used by one virtual-thread task. */
final class Exchange {
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);
    private static final long MAX_DEADLINE_MS = TimeUnit.HOURS.toMillis(2);
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_LARGE = 413;

    private final HttpServerRequest request;
    private final String id;
    private final long startNanos;
    private final boolean idIsValid;
    private Organisation organisation;
    private RequestTrace trace;
    private boolean decidedByOwner;

    Exchange(HttpServerRequest request, long startNanos) {
        this.request = Objects.requireNonNull(request, "request");
        this.startNanos = startNanos;
        // A caller that disconnects is not an error; classes that must react to it replace this handler with their own.
        request.response().exceptionHandler(e -> {});
        String suppliedId = request.getHeader("Request-Id");
        this.idIsValid = suppliedId == null || REQUEST_ID.matcher(suppliedId).matches();
        this.id =
                suppliedId != null && idIsValid ? suppliedId : UUID.randomUUID().toString();
    }

    /**
     * Checks the header {@code Request-Id}.
     *
     * @throws ProblemException if it is malformed
     */
    void checkId() {
        if (!idIsValid) {
            throw new ProblemException(Problem.refused(
                    BAD_REQUEST,
                    "invalid-header",
                    Step.ACCEPT,
                    "Request-Id must be 1 to 128 characters from letters, digits, '.', '_', ':' and '-'"));
        }
    }

    HttpServerRequest request() {
        return request;
    }

    HttpServerResponse response() {
        return request.response();
    }

    String id() {
        return id;
    }

    long startNanos() {
        return startNanos;
    }

    void setOrganisation(Organisation organisation) {
        this.organisation = organisation;
    }

    Organisation organisation() {
        return organisation;
    }

    void setTrace(RequestTrace trace) {
        this.trace = trace;
    }

    /** Adds a step to the request's trace, if one was started. */
    void addTraceStep(String text) {
        if (trace != null) {
            trace.addStep(text);
        }
    }

    /** Records that the owner of the request's idempotency key has decided the outcome. */
    void markDecidedByOwner() {
        decidedByOwner = true;
    }

    boolean hasIdempotencyKey() {
        return request.getHeader(IDEMPOTENCY_KEY) != null;
    }

    /**
     * Returns the deadline on the monotonic clock.
     *
     * @param defaultTimeout time from the start of the request that applies without a {@code Deadline-Ms} header
     * @throws ProblemException if the header is not a number from 1 to {@link #MAX_DEADLINE_MS}
     */
    long deadlineNanos(Duration defaultTimeout) {
        String text = request.getHeader("Deadline-Ms");
        if (text == null) {
            return startNanos + defaultTimeout.toNanos();
        }
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_DEADLINE_MS) {
                return startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
            }
        } catch (NumberFormatException e) {
            // Falls through to the exception below.
        }
        throw new ProblemException(Problem.refused(
                BAD_REQUEST,
                "invalid-header",
                Step.ACCEPT,
                "Deadline-Ms must be a number from 1 to " + MAX_DEADLINE_MS));
    }

    /**
     * Reads the request body. Must be called before the task waits for anything else.
     *
     * @throws ProblemException if the body is longer than {@code maxBytes} or does not arrive in time
     */
    Buffer readBody(int maxBytes) {
        Problem tooLarge = Problem.refused(
                TOO_LARGE, "body-too-large", Step.ACCEPT, "the body must be at most " + maxBytes + " bytes");
        String length = request.getHeader("Content-Length");
        if (length != null && length.length() > 9 || length != null && Long.parseLong(length) > maxBytes) {
            throw new ProblemException(tooLarge);
        }
        Promise<Buffer> complete = Promise.promise();
        Buffer collected = Buffer.buffer();
        request.handler(chunk -> {
            if (collected.length() + chunk.length() > maxBytes) {
                complete.tryFail(new ProblemException(tooLarge));
            } else {
                collected.appendBuffer(chunk);
            }
        });
        request.exceptionHandler(complete::tryFail);
        request.endHandler(v -> complete.tryComplete(collected));
        try {
            return TimedAwait.await(complete.future(), BODY_TIMEOUT);
        } catch (TimeoutException e) {
            throw new ProblemException(
                    Problem.refused(REQUEST_TIMEOUT, "body-timeout", Step.ACCEPT, "the body did not arrive in time"));
        }
    }

    /** Sends a problem document; if the response has already begun and not ended, closes the connection instead. */
    void fail(Problem problem) {
        HttpServerResponse response = response();
        Problem reported = problem;
        if (hasIdempotencyKey() && !decidedByOwner && problem.outcome() == Outcome.NOT_RUN) {
            // An earlier request with this key may have run; only the key's owner knows.
            reported = problem.withOutcome(Outcome.UNKNOWN);
        }
        addTraceStep("failed at " + reported.step().text() + ": " + reported.detail());
        if (response.ended() || response.closed()) {
            return;
        }
        if (response.headWritten()) {
            request.connection().close();
            return;
        }
        response.setStatusCode(reported.status())
                .putHeader("Content-Type", "application/problem+json")
                .putHeader("Outcome", reported.outcome().text())
                .putHeader("Request-Id", id);
        reported.retryAfter()
                .ifPresent(delay -> response.putHeader(
                        "Retry-After", Long.toString(Math.max(1, (delay.toMillis() + 999) / 1_000))));
        if (!request.isEnded()) {
            // The rest of the body is discarded unread, so the connection cannot be used for another request.
            response.putHeader("Connection", "close");
            request.resume();
        }
        response.end(reported.json(id).toBuffer());
    }

    /** Sends a complete response, without a body if {@code body} is {@code null}. */
    void succeed(int status, String contentType, Buffer body) {
        HttpServerResponse response = response();
        if (response.headWritten() || response.closed()) {
            return;
        }
        response.setStatusCode(status).putHeader("Outcome", Outcome.DONE.text()).putHeader("Request-Id", id);
        if (body == null) {
            response.end();
        } else {
            response.putHeader("Content-Type", contentType).end(body);
        }
    }

    /** Sends a complete JSON response. */
    void succeed(int status, JsonObject body) {
        succeed(status, "application/json", body.toBuffer());
    }
}
