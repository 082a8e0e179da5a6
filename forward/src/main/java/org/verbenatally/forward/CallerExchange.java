package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.verbenatally.time.TimedAwait;

/** One request of a caller and its answer. All methods must be called on the context of the request. */
final class CallerExchange {
    static final int NOT_FOUND = 404;
    static final int UNAUTHORIZED = 401;
    static final int BAD_REQUEST = 400;
    static final int TOO_LARGE = 413;
    static final int HEAD_TOO_LARGE = 431;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;
    /** A caller that takes no bytes for this long is given up; it has left without closing. */
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(10);

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String CHUNKED = "chunked";

    private final Vertx owner;
    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final BooleanSupplier stopping;
    private Runnable onGone = () -> {};
    private Runnable onRelease = () -> {};
    private boolean gone;
    private boolean closing;

    /**
     * Wraps a request whose body has not been read.
     *
     * @param owner runs the request
     * @param request the request
     * @param stopping whether connections are to be closed after their next answer
     */
    CallerExchange(Vertx owner, HttpServerRequest request, BooleanSupplier stopping) {
        this.owner = Objects.requireNonNull(owner, "owner");
        this.request = Objects.requireNonNull(request, "request");
        this.response = request.response();
        this.stopping = Objects.requireNonNull(stopping, "stopping");
        response.exceptionHandler(e -> onDisconnect());
        response.closeHandler(v -> onDisconnect());
        request.exceptionHandler(e -> onDisconnect());
    }

    private void onDisconnect() {
        if (!gone && !response.ended()) {
            gone = true;
            onGone.run();
        }
    }

    Vertx owner() {
        return owner;
    }

    HttpServerRequest request() {
        return request;
    }

    /** Tells whether the caller has closed its connection before the end of its answer. */
    boolean isGone() {
        return gone;
    }

    /**
     * Tells whether the request states its end in a way that every program on the way understands (RFC 9112, section
     * 6.1): no transfer coding, or only "chunked". A length beside it does not count and is not passed on.
     */
    boolean hasUnambiguousFraming() {
        List<String> codings = request.headers().getAll(HttpHeaders.TRANSFER_ENCODING);
        return codings.isEmpty()
                || codings.size() == 1 && codings.getFirst().strip().equalsIgnoreCase(CHUNKED);
    }

    /** Closes the connection after the answer. */
    void closeAfterResponse() {
        closing = true;
    }

    private boolean isClosing() {
        return closing || stopping.getAsBoolean();
    }

    /** Sets what is to be broken off when the caller leaves; replaces what was set before. */
    void onGone(Runnable action) {
        onGone = action;
        if (gone) {
            action.run();
        }
    }

    /** How the arrival of a body ended. */
    enum BodyEnd {
        COMPLETE,
        /** It is longer than the configuration allows. */
        TOO_LARGE,
        /** The bodies of all open requests take too much memory. */
        NO_MEMORY
    }

    /**
     * Reads the whole body, which then counts against the memory until {@link #release}.
     *
     * @param body what has arrived is added to it
     * @param maxBytes largest body that is allowed
     * @param memory bounds the bodies of all requests
     * @param limit longest time that it may take
     * @throws TimeoutException if it has not arrived within the limit
     */
    BodyEnd readBody(Buffer body, int maxBytes, BodyMemory memory, Duration limit) throws TimeoutException {
        Promise<BodyEnd> end = Promise.promise();
        request.handler(chunk -> {
            if (end.future().isComplete()) {
                return;
            }
            if (body.length() + chunk.length() > maxBytes) {
                end.tryComplete(BodyEnd.TOO_LARGE);
            } else if (!memory.reserve(chunk.length())) {
                end.tryComplete(BodyEnd.NO_MEMORY);
            } else {
                body.appendBuffer(chunk);
            }
        });
        request.endHandler(v -> end.tryComplete(BodyEnd.COMPLETE));
        onGone = () -> end.tryFail("caller has left");
        onRelease = () -> memory.release(body.length());
        request.resume();
        return TimedAwait.await(end.future(), limit);
    }

    /** Gives the memory of the body back. */
    void release() {
        onRelease.run();
        onRelease = () -> {};
    }

    /** Answers that the request has not run and never will. */
    void refuse(int status, Duration retryAfter) {
        String seconds = String.format(Locale.ROOT, "%.2f", retryAfter.toMillis() / MILLIS_PER_SECOND);
        response.putHeader(HttpHeaders.RETRY_AFTER, seconds);
        respond(status);
    }

    /** Answers with a status of this instance. */
    void respond(int status) {
        if (!gone && !response.headWritten()) {
            response.setStatusCode(status);
            end(Buffer.buffer());
        }
    }

    /** Passes on a whole answer of a target. */
    void respond(HttpClientResponse targetResponse, Buffer body) {
        if (!gone) {
            copyHead(targetResponse);
            end(body);
        }
    }

    /** Passes on the head of an answer whose body follows in pieces, from one target or several. */
    void startChunked(HttpClientResponse targetResponse) {
        copyHead(targetResponse);
        response.setChunked(true);
        response.writeHead();
    }

    /** Passes on the head of an answer, with its length if it has one; its body follows in pieces. */
    void startResponse(HttpClientResponse targetResponse) {
        String length = targetResponse.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length == null) {
            startChunked(targetResponse);
            return;
        }
        copyHead(targetResponse);
        response.putHeader(HttpHeaders.CONTENT_LENGTH, length);
        response.writeHead();
    }

    private void copyHead(HttpClientResponse targetResponse) {
        response.setStatusCode(targetResponse.statusCode());
        response.setStatusMessage(targetResponse.statusMessage());
        Headers.copyEndToEnd(targetResponse.headers(), response.headers());
    }

    /** Tells whether the head of the answer has been passed on. */
    boolean isStarted() {
        return response.headWritten();
    }

    /** Passes on a piece of the body; waits while the caller is slow to read. */
    void write(Buffer chunk) {
        if (gone) {
            return;
        }
        response.write(chunk);
        if (response.writeQueueFull()) {
            Promise<Void> drained = Promise.promise();
            response.drainHandler(v -> drained.tryComplete());
            try {
                TimedAwait.await(drained.future(), WRITE_TIMEOUT);
            } catch (TimeoutException e) {
                abort();
            }
        }
    }

    /** Ends an answer whose body was passed on in pieces. */
    void end() {
        end(Buffer.buffer());
    }

    private void end(Buffer last) {
        if (gone) {
            return;
        }
        if (isClosing() && !response.headWritten()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        Future<Void> ended = response.end(last);
        if (isClosing()) {
            ended.onComplete(v -> request.connection().close());
        }
    }

    /** Breaks the answer off, so that the caller does not take it for whole. */
    void abort() {
        if (!gone) {
            gone = true;
            request.connection().close();
        }
    }
}
