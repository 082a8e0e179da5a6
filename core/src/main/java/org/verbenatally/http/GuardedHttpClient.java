package org.verbenatally.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.jboss.logging.Logger;

/**
 * The HTTP client of all programs. It reports a response as complete only if it is: where nothing but the end of the
 * connection states the end of a response, {@link ResponseEndGuard} decides. The reader of any other response is told
 * that the connection was lost. Thread-safe.
 */
public final class GuardedHttpClient {
    private static final Logger LOG = Logger.getLogger(GuardedHttpClient.class);

    private final HttpClient client;

    /** Creates a client with a pool of the default size. */
    public GuardedHttpClient(Vertx vertx, HttpClientOptions options) {
        this(vertx, options, new PoolOptions());
    }

    /** Creates a client. */
    public GuardedHttpClient(Vertx vertx, HttpClientOptions options, PoolOptions poolOptions) {
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(poolOptions)
                // Failures are reported by the exchange that they concern.
                .withConnectHandler(connection -> connection.exceptionHandler(e ->
                        LOG.debugf("http: connection to %s failed: %s", connection.remoteAddress(), e.getMessage())))
                .build();
    }

    /** Returns a request on a connection of its own, of which nothing has been sent. */
    public Future<HttpClientRequest> request(RequestOptions options) {
        return client.request(options).map(request -> {
            ResponseEndGuard.install(request.connection());
            return request;
        });
    }

    /** Closes the client and its connections. */
    public Future<Void> close() {
        return client.close();
    }
}
