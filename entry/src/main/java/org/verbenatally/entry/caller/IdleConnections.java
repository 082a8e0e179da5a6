package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.http.HttpConnection;
import org.jboss.logging.Logger;

/**
 * Closes callers' connections that carry no request for a while, so that slow or silent clients cannot hold them. The
 * idle timeout of the HTTP server cannot do this: it would also close connections whose request takes long.
 */
final class IdleConnections {
    private static final Logger LOG = Logger.getLogger(IdleConnections.class);
    private static final Duration IDLE = Duration.ofSeconds(75);

    private final Map<HttpConnection, State> states = new ConcurrentHashMap<>();

    private static final class State {
        private int open;
        private long idleSinceNanos = System.nanoTime();
    }

    void opened(HttpConnection connection) {
        states.put(connection, new State());
        connection.exceptionHandler(e -> LOG.debugf("caller: connection failed: %s", e.getMessage()));
        connection.closeHandler(v -> states.remove(connection));
    }

    void begin(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            synchronized (state) {
                state.open++;
            }
        }
    }

    void end(HttpConnection connection) {
        State state = states.get(connection);
        if (state != null) {
            synchronized (state) {
                state.open--;
                state.idleSinceNanos = System.nanoTime();
            }
        }
    }

    int count() {
        return states.size();
    }

    void closeIdle() {
        long now = System.nanoTime();
        states.forEach((connection, state) -> {
            boolean idle;
            synchronized (state) {
                idle = state.open == 0 && now - state.idleSinceNanos > IDLE.toNanos();
            }
            if (idle) {
                connection.close();
            }
        });
    }
}
