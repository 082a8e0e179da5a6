package org.verbenatally.http;

import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.WeakHashMap;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;

/**
 * The exchanges that have begun on the connections of an HTTP client. A connection serves another exchange only if all
 * before it have ended in order, so that no response of theirs can be taken for that of a later one. Thread-safe.
 */
public final class ConnectionHistory {
    /** Number of exchanges that have begun on each connection; held weakly, as closed connections are of no use. */
    private final Map<HttpConnection, Integer> exchanges = Collections.synchronizedMap(new WeakHashMap<>());

    /** Connections of exchanges that did not end in order; held weakly as well. */
    private final Set<HttpConnection> cancelled =
            Collections.newSetFromMap(Collections.synchronizedMap(new WeakHashMap<>()));

    /** One request and its response. */
    public final class Exchange {
        private final HttpClientRequest request;
        private final boolean reused;

        private Exchange(HttpClientRequest request, boolean reused) {
            this.request = request;
            this.reused = reused;
        }

        /** Returns the request. */
        public HttpClientRequest request() {
            return request;
        }

        /**
         * Returns whether another exchange has begun on the connection before. A second copy of its response may arrive
         * where that of this exchange is due.
         */
        public boolean isReused() {
            return reused;
        }

        /** Gives the connection back; nothing has been sent. */
        public void release() {
            request.reset();
        }

        /** Ends the exchange without reading the rest of its response; the connection serves no other. */
        public void cancel() {
            // The response may have arrived in full meanwhile, in which case the reset leaves the connection open.
            cancelled.add(request.connection());
            request.reset();
        }
    }

    /**
     * Begins an exchange on the connection of a request of which nothing has been sent. The result is empty if an
     * earlier exchange on this connection did not end in order; the connection is closed then, and the request has to
     * be made again.
     */
    public Optional<Exchange> begin(HttpClientRequest request) {
        HttpConnection connection = Objects.requireNonNull(request.connection(), "connection");
        if (cancelled.contains(connection)) {
            connection.close();
            request.reset();
            return Optional.empty();
        }
        return Optional.of(new Exchange(request, exchanges.merge(connection, 1, Integer::sum) > 1));
    }
}
