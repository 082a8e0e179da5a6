package org.verbenatally.load;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.http.GuardedHttpClient;

/** One HTTP exchange, read as a sequence of parts by the thread that started it. */
final class Exchange {
    /** A part of the response, or the reason why none arrived. */
    sealed interface Part {
        /** The response head. */
        record Head(int status, MultiMap headers) implements Part {}

        /** A chunk of the body, with its arrival time in nanoseconds of the monotonic clock. */
        record Chunk(long nanos, Buffer bytes) implements Part {}

        /** The end of the body. */
        record End() implements Part {}

        /** The connection failed. */
        record Failed(String cause) implements Part {}

        /** No part arrived within the timeout. */
        record TimedOut() implements Part {}
    }

    private final BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    private volatile HttpClientRequest request;
    private volatile boolean reset;

    /** Sends a request; {@link #next} returns the parts of the response, or the failure. */
    Exchange(GuardedHttpClient client, RequestOptions options, Buffer body) {
        // The response handler is set on the event loop before the request is sent. If it were set from this thread,
        // the first bytes could arrive before it and be lost.
        client.request(options).onComplete(opened -> send(opened, body), this::onFailure);
    }

    private void send(HttpClientRequest opened, Buffer body) {
        request = opened;
        opened.response().onComplete(this::onResponse, this::onFailure);
        if (reset) {
            opened.reset();
        } else {
            opened.send(body);
        }
    }

    private void onFailure(Throwable cause) {
        parts.add(new Part.Failed(String.valueOf(cause.getMessage())));
    }

    private void onResponse(HttpClientResponse response) {
        parts.add(new Part.Head(response.statusCode(), response.headers()));
        response.handler(bytes -> parts.add(new Part.Chunk(System.nanoTime(), bytes)));
        response.endHandler(ignored -> parts.add(new Part.End()));
        response.exceptionHandler(this::onFailure);
    }

    /** Waits for the next part; returns {@link Part.TimedOut} if none arrives within the timeout. */
    Part next(long timeoutMs) throws InterruptedException {
        Part part = parts.poll(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        return part == null ? new Part.TimedOut() : part;
    }

    /** Abandons the exchange and closes its connection if the response is not complete. */
    void reset() {
        reset = true;
        HttpClientRequest opened = request;
        if (opened != null) {
            opened.reset();
        }
    }
}
