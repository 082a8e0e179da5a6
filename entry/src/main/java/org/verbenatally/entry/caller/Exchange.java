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

/** One request of a caller with its answer. Used by one virtual-thread task. */
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
    private final boolean idValid;
    private Organisation organisation;
    private RequestTrace trace;
    private boolean decidedByOwner;

    Exchange(HttpServerRequest request, long startNanos) {
        this.request = Objects.requireNonNull(request, "request");
        this.startNanos = startNanos;
        // A caller that leaves is no error; parts that must know of it set handlers of their own.
        request.response().exceptionHandler(e -> {});
        String offered = request.getHeader("Request-Id");
        this.idValid = offered == null || REQUEST_ID.matcher(offered).matches();
        this.id = offered != null && idValid ? offered : UUID.randomUUID().toString();
    }

    void checkId() {
        if (!idValid) {
            throw new ProblemException(Problem.refused(
                    BAD_REQUEST,
                    "invalid-header",
                    Step.ACCEPT,
                    "Request-Id must be 1 to 128 characters out of letters, digits, '.', '_', ':' and '-'"));
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

    void organisation(Organisation authenticated) {
        this.organisation = authenticated;
    }

    Organisation organisation() {
        return organisation;
    }

    void trace(RequestTrace opened) {
        this.trace = opened;
    }

    void note(String text) {
        if (trace != null) {
            trace.note(text);
        }
    }

    /** States that the outcome was decided by the owner of the request's idempotency key. */
    void decidedByOwner() {
        decidedByOwner = true;
    }

    boolean hasKey() {
        return request.getHeader(IDEMPOTENCY_KEY) != null;
    }

    /** Returns the deadline on the monotonic clock. */
    long deadlineNanos(Duration fallback) {
        String text = request.getHeader("Deadline-Ms");
        if (text == null) {
            return startNanos + fallback.toNanos();
        }
        try {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_DEADLINE_MS) {
                return startNanos + TimeUnit.MILLISECONDS.toNanos(millis);
            }
        } catch (NumberFormatException e) {
            // Falls through to the refusal.
        }
        throw new ProblemException(Problem.refused(
                BAD_REQUEST,
                "invalid-header",
                Step.ACCEPT,
                "Deadline-Ms must be a number from 1 to " + MAX_DEADLINE_MS));
    }

    /** Reads the body. Must be called before the task waits for anything else. */
    Buffer body(int maxBytes) {
        Problem tooLarge = Problem.refused(
                TOO_LARGE, "body-too-large", Step.ACCEPT, "the body must be at most " + maxBytes + " bytes");
        String length = request.getHeader("Content-Length");
        if (length != null && length.length() > 9 || length != null && Long.parseLong(length) > maxBytes) {
            throw new ProblemException(tooLarge);
        }
        Promise<Buffer> whole = Promise.promise();
        Buffer collected = Buffer.buffer();
        request.handler(part -> {
            if (collected.length() + part.length() > maxBytes) {
                whole.tryFail(new ProblemException(tooLarge));
            } else {
                collected.appendBuffer(part);
            }
        });
        request.exceptionHandler(whole::tryFail);
        request.endHandler(v -> whole.tryComplete(collected));
        try {
            return TimedAwait.await(whole.future(), BODY_TIMEOUT);
        } catch (TimeoutException e) {
            throw new ProblemException(
                    Problem.refused(REQUEST_TIMEOUT, "body-timeout", Step.ACCEPT, "the body did not arrive in time"));
        }
    }

    /** Sends a problem document, if nothing was sent yet. */
    void fail(Problem problem) {
        HttpServerResponse response = response();
        Problem shown = problem;
        if (hasKey() && !decidedByOwner && problem.outcome() == Outcome.NOT_RUN) {
            // An earlier copy with this key may have run; only the key's owner can tell.
            shown = problem.withOutcome(Outcome.UNKNOWN);
        }
        note("failed at " + shown.step().text() + ": " + shown.detail());
        if (response.headWritten() || response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(shown.status())
                .putHeader("Content-Type", "application/problem+json")
                .putHeader("Outcome", shown.outcome().text())
                .putHeader("Request-Id", id);
        shown.retryAfter()
                .ifPresent(delay -> response.putHeader(
                        "Retry-After", Long.toString(Math.max(1, (delay.toMillis() + 999) / 1_000))));
        if (!request.isEnded()) {
            // The rest of the body is not read, so the connection cannot carry another request.
            response.putHeader("Connection", "close");
            request.resume();
        }
        response.end(shown.json(id).toBuffer());
    }

    /** Sends a whole answer. */
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

    /** Sends a whole JSON answer. */
    void succeed(int status, JsonObject body) {
        succeed(status, "application/json", body.toBuffer());
    }
}
