package org.verbenatally.load;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;

/** One HTTP exchange, read as a sequence of parts by the thread that started it. */
final class Exchange {
    /** What arrived, with the time of arrival on the monotonic clock. */
    sealed interface Part {
        /** The response head. */
        record Head(int status, MultiMap headers) implements Part {}

        /** Body bytes. */
        record Bytes(long nanos, Buffer bytes) implements Part {}

        /** The end of the body. */
        record End() implements Part {}

        /** The connection failed. */
        record Lost(String cause) implements Part {}

        /** Nothing arrived in time. */
        record Silent() implements Part {}
    }

    private final BlockingQueue<Part> parts = new LinkedBlockingQueue<>();
    private volatile HttpClientRequest request;
    private volatile boolean reset;

    /** Sends a request; its answer, or its failure, arrives as parts. */
    Exchange(HttpClient client, RequestOptions options, Buffer body) {
        // The response handler is set on the event loop before the request leaves: set from this thread, it could come
        // after the first bytes, which would be lost.
        client.request(options).onComplete(opened -> send(opened, body), this::lost);
    }

    private void send(HttpClientRequest opened, Buffer body) {
        request = opened;
        opened.response().onComplete(this::read, this::lost);
        if (reset) {
            opened.reset();
        } else {
            opened.send(body);
        }
    }

    private void lost(Throwable cause) {
        parts.add(new Part.Lost(String.valueOf(cause.getMessage())));
    }

    private void read(HttpClientResponse response) {
        parts.add(new Part.Head(response.statusCode(), response.headers()));
        response.handler(bytes -> parts.add(new Part.Bytes(System.nanoTime(), bytes)));
        response.endHandler(ignored -> parts.add(new Part.End()));
        response.exceptionHandler(this::lost);
    }

    /** Waits for the next part. */
    Part next(long timeoutMs) throws InterruptedException {
        Part part = parts.poll(Math.max(1, timeoutMs), TimeUnit.MILLISECONDS);
        return part == null ? new Part.Silent() : part;
    }

    /** Gives the exchange up and closes its connection if it is not complete. */
    void reset() {
        reset = true;
        HttpClientRequest opened = request;
        if (opened != null) {
            opened.reset();
        }
    }
}
