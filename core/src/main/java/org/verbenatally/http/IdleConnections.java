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
        private boolean closing;

        State(long now) {
            idleSinceNanos = now;
        }

        synchronized boolean tryStartRequest() {
            if (!closing) {
                openRequests++;
            }
            return !closing;
        }

        synchronized void onRequestEnd(long now) {
            openRequests--;
            idleSinceNanos = now;
        }

        /** Marks the connection as closing if it is idle; returns whether it was. */
        synchronized boolean tryClose(long now, Duration timeout) {
            boolean idle = !closing && openRequests == 0 && now - idleSinceNanos > timeout.toNanos();
            closing |= idle;
            return idle;
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

    /**
     * Records that a request has arrived on a connection. Returns whether it may be handled; otherwise, the connection
     * is being closed or was closed since the request arrived, and the caller will find that its request was not read.
     */
    public boolean tryStartRequest(HttpConnection connection) {
        State state = states.get(connection);
        return state != null && state.tryStartRequest();
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
            if (state.tryClose(now, timeout)) {
                connection.close();
            }
        });
    }
}
