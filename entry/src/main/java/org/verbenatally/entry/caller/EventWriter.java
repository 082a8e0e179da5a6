package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jboss.logging.Logger;
import org.verbenatally.time.TimedAwait;

/** Writes server-sent events to one caller, with keep-alives and a bounded buffer. */
final class EventWriter {
    private static final Logger LOG = Logger.getLogger(EventWriter.class);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(2);
    /** Unsent bytes held for one reader; about 500 tokens. */
    private static final int BUFFER_BYTES = 65_536;
    /** A reader that takes no half of the buffer in this time is dropped; it can resume. */
    private static final Duration SLOW_READER = Duration.ofSeconds(10);

    private static final Duration LAST_BYTES = Duration.ofSeconds(2);

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Vertx vertx;
    private final long timer;
    private long lastWriteNanos = System.nanoTime();
    private boolean gone;
    private boolean ended;
    private Runnable onGone;
    private Promise<Void> draining;

    EventWriter(Vertx vertx, Exchange exchange) {
        this.vertx = vertx;
        this.request = exchange.request();
        this.response = exchange.response();
        response.setWriteQueueMaxSize(BUFFER_BYTES);
        response.closeHandler(v -> leave());
        response.exceptionHandler(e -> leave());
        timer = vertx.setPeriodic(KEEP_ALIVE.toMillis() / 4, id -> keepAlive());
    }

    /** Sends the head, if it was not sent before. */
    void open(String requestId) {
        if (response.headWritten() || gone()) {
            return;
        }
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader("Request-Id", requestId);
        write(": open\n\n");
    }

    void write(String text) {
        if (gone()) {
            return;
        }
        lastWriteNanos = System.nanoTime();
        response.write(text);
        if (response.writeQueueFull()) {
            awaitDrain();
        }
    }

    private void awaitDrain() {
        Promise<Void> drained = Promise.promise();
        synchronized (this) {
            if (gone) {
                return;
            }
            draining = drained;
        }
        response.drainHandler(v -> drained.tryComplete());
        if (!response.writeQueueFull()) {
            return;
        }
        try {
            TimedAwait.await(drained.future(), SLOW_READER);
        } catch (TimeoutException e) {
            LOG.infof("stream: dropping a reader that took no data for %d ms", SLOW_READER.toMillis());
            drop();
        }
    }

    /** Gives up the response, which another part ends. */
    void release() {
        synchronized (this) {
            ended = true;
        }
        vertx.cancelTimer(timer);
    }

    /** Ends the stream in order. */
    void end() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        vertx.cancelTimer(timer);
        if (!response.closed()) {
            response.end();
        }
    }

    /** Ends the stream in order and closes the connection after the last byte. */
    void endAndClose() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        vertx.cancelTimer(timer);
        if (!response.closed()) {
            response.end().onComplete(done -> request.connection().close());
            // On a silent connection the last bytes never leave.
            vertx.setTimer(LAST_BYTES.toMillis(), id -> request.connection().close());
        }
    }

    /** Closes the connection without an end. */
    void drop() {
        vertx.cancelTimer(timer);
        leave();
        request.connection().close();
    }

    synchronized boolean gone() {
        return gone;
    }

    void onGone(Runnable task) {
        boolean now;
        synchronized (this) {
            onGone = task;
            now = gone;
        }
        if (now) {
            leave();
        }
    }

    private void leave() {
        Runnable task;
        synchronized (this) {
            if (ended) {
                return;
            }
            gone = true;
            task = onGone;
            onGone = null;
            if (draining != null) {
                draining.tryComplete();
            }
        }
        vertx.cancelTimer(timer);
        if (task != null) {
            task.run();
        }
    }

    private void keepAlive() {
        if (gone() || !response.headWritten() || response.ended()) {
            return;
        }
        if (System.nanoTime() - lastWriteNanos > KEEP_ALIVE.toNanos() * 3 / 4 && !response.writeQueueFull()) {
            lastWriteNanos = System.nanoTime();
            response.write(": keep-alive\n\n");
        }
    }
}
