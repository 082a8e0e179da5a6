package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.http.HttpConnection;
import org.jboss.logging.Logger;

/**
 * Closes callers' connections that have carried no request for {@link #IDLE_TIMEOUT}, so that slow or silent clients
 * cannot hold them. The idle timeout of the HTTP server cannot do this: it would also close connections whose request
 * takes long.
 */
final class IdleConnections {
    private static final Logger LOG = Logger.getLogger(IdleConnections.class);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

    private final Map<HttpConnection, State> states = new ConcurrentHashMap<>();

    private static final class State {
        private int openRequests;
        private long idleSinceNanos = System.nanoTime();
    }

    void onOpened(HttpConnection connection) {
        states.put(connection, new State());
        connection.exceptionHandler(e -> LOG.debugf("caller: connection failed: %s", e.getMessage()));
        connection.closeHandler(v -> states.remove(connection));
    }

    void onRequestStart(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            synchronized (state) {
                state.openRequests++;
            }
        }
    }

    void onRequestEnd(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            synchronized (state) {
                state.openRequests--;
                state.idleSinceNanos = System.nanoTime();
            }
        }
    }

    /** Returns the number of open connections. */
    int count() {
        return states.size();
    }

    void closeIdle() {
        long now = System.nanoTime();
        states.forEach((connection, state) -> {
            boolean idle;
            synchronized (state) {
                idle = state.openRequests == 0 && now - state.idleSinceNanos > IDLE_TIMEOUT.toNanos();
            }
            if (idle) {
                connection.close();
            }
        });
    }
}
