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
    private static final Duration KEEP_ALIVE_PERIOD = Duration.ofSeconds(2);
    /** Maximum size of the write queue of one caller, in bytes; about 500 tokens. */
    private static final int MAX_WRITE_QUEUE_BYTES = 65_536;
    /** A caller that does not read half of a full buffer within this time is disconnected; it can resume. */
    private static final Duration SLOW_READER_TIMEOUT = Duration.ofSeconds(10);

    /** Time after the last event until the connection is closed, even if the event has not been sent. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(2);

    private final HttpServerRequest request;
    private final HttpServerResponse response;
    private final Vertx vertx;
    private final long keepAliveTimer;
    private long lastWriteNanos = System.nanoTime();
    private boolean disconnected;
    private boolean ended;
    private Runnable disconnectHandler;
    private Promise<Void> pendingDrain;

    EventWriter(Vertx vertx, Exchange exchange) {
        this.vertx = vertx;
        this.request = exchange.request();
        this.response = exchange.response();
        response.setWriteQueueMaxSize(MAX_WRITE_QUEUE_BYTES);
        response.closeHandler(v -> markDisconnected());
        response.exceptionHandler(e -> markDisconnected());
        keepAliveTimer = vertx.setPeriodic(KEEP_ALIVE_PERIOD.toMillis() / 4, id -> sendKeepAlive());
    }

    /** Sends the response head, unless it has been sent before. */
    void open(String requestId) {
        if (response.headWritten() || isDisconnected()) {
            return;
        }
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store")
                .putHeader("Request-Id", requestId);
        write(": open\n\n");
    }

    /** Writes events; waits while the write queue is full. */
    void write(String text) {
        if (isDisconnected()) {
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
            if (disconnected) {
                return;
            }
            pendingDrain = drained;
        }
        response.drainHandler(v -> drained.tryComplete());
        if (!response.writeQueueFull()) {
            return;
        }
        try {
            TimedAwait.await(drained.future(), SLOW_READER_TIMEOUT);
        } catch (TimeoutException e) {
            LOG.infof(
                    "stream: disconnecting a slow caller: its write queue stayed full for %d ms",
                    SLOW_READER_TIMEOUT.toMillis());
            abort();
        }
    }

    /** Stops using the response, which another class then ends. */
    void release() {
        synchronized (this) {
            ended = true;
        }
        vertx.cancelTimer(keepAliveTimer);
    }

    /** Ends the stream in an orderly way. */
    void end() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        vertx.cancelTimer(keepAliveTimer);
        if (!response.closed()) {
            response.end();
        }
    }

    /** Ends the stream in an orderly way and closes the connection after the last byte. */
    void endAndClose() {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
        }
        vertx.cancelTimer(keepAliveTimer);
        if (!response.closed()) {
            response.end().onComplete(done -> request.connection().close());
            // If the peer acknowledges nothing, the last bytes are never sent and the write never completes.
            vertx.setTimer(FLUSH_TIMEOUT.toMillis(), id -> request.connection().close());
        }
    }

    /** Closes the connection without ending the stream. */
    void abort() {
        vertx.cancelTimer(keepAliveTimer);
        markDisconnected();
        request.connection().close();
    }

    synchronized boolean isDisconnected() {
        return disconnected;
    }

    /** Registers a task that is run once, when the caller has disconnected. */
    void onDisconnect(Runnable task) {
        boolean alreadyDisconnected;
        synchronized (this) {
            disconnectHandler = task;
            alreadyDisconnected = disconnected;
        }
        if (alreadyDisconnected) {
            markDisconnected();
        }
    }

    private void markDisconnected() {
        Runnable task;
        synchronized (this) {
            if (ended) {
                return;
            }
            disconnected = true;
            task = disconnectHandler;
            disconnectHandler = null;
            if (pendingDrain != null) {
                pendingDrain.tryComplete();
            }
        }
        vertx.cancelTimer(keepAliveTimer);
        if (task != null) {
            task.run();
        }
    }

    private void sendKeepAlive() {
        if (isDisconnected() || !response.headWritten() || response.ended()) {
            return;
        }
        if (System.nanoTime() - lastWriteNanos > KEEP_ALIVE_PERIOD.toNanos() * 3 / 4 && !response.writeQueueFull()) {
            lastWriteNanos = System.nanoTime();
            response.write(": keep-alive\n\n");
        }
    }
}
