package org.verbenatally.http;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.http.HttpConnection;
import org.jboss.logging.Logger;
import org.verbenatally.time.TimerService;

/**
 * Closes callers' connections that have carried no request for some time, so that slow or silent clients cannot hold
 * them. The idle timeout of the HTTP server cannot do this: it would also close connections whose request takes long.
 */
public final class IdleConnections {
    private static final Logger LOG = Logger.getLogger(IdleConnections.class);
    /** Number of checks within the idle timeout. */
    private static final int CHECKS = 8;

    private final TimerService timer;
    private final Duration timeout;
    private final Map<HttpConnection, State> states = new ConcurrentHashMap<>();

    private static final class State {
        private int openRequests;
        private long idleSinceNanos;

        State(long now) {
            idleSinceNanos = now;
        }

        synchronized void onRequestStart() {
            openRequests++;
        }

        synchronized void onRequestEnd(long now) {
            openRequests--;
            idleSinceNanos = now;
        }

        synchronized boolean isIdle(long now, Duration timeout) {
            return openRequests == 0 && now - idleSinceNanos > timeout.toNanos();
        }
    }

    /**
     * Creates an empty set of connections.
     *
     * @param timeout time without a request after which a connection is closed
     */
    public IdleConnections(TimerService timer, Duration timeout) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.timeout = Objects.requireNonNull(timeout, "timeout");
    }

    /** Starts to close idle connections. */
    public void start() {
        timer.every(timeout.dividedBy(CHECKS), tick -> closeIdle(tick.nanos()));
    }

    /** Adds a connection. */
    public void onOpened(HttpConnection connection) {
        states.put(connection, new State(timer.nanos()));
        connection.exceptionHandler(e -> LOG.debugf("caller: connection failed: %s", e.getMessage()));
        connection.closeHandler(v -> states.remove(connection));
    }

    /** Records that a request has arrived on a connection. */
    public void onRequestStart(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            state.onRequestStart();
        }
    }

    /** Records that a request on a connection has ended. */
    public void onRequestEnd(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            state.onRequestEnd(timer.nanos());
        }
    }

    /** Returns the number of open connections. */
    public int count() {
        return states.size();
    }

    private void closeIdle(long now) {
        states.forEach((connection, state) -> {
            if (state.isIdle(now, timeout)) {
                connection.close();
            }
        });
    }
}
