package org.verbenatally.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.impl.ConnectionBase;
import org.jboss.logging.Logger;

/**
 * The HTTP client of all programs but the stand-ins. It checks what the decoder of responses does not:
 * {@link ResponseHeadGuard} rejects malformed heads, and {@link ResponseEndGuard} decides whether a response is whole
 * where nothing but the end of its connection says so. The reader of a response that fails a check is told that the
 * connection was lost. Thread-safe.
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
            guard(request.connection());
            return request;
        });
    }

    /**
     * Adds the guards to a connection that has none yet. Must be called before anything is sent on it, by the thread
     * that sends it: a message that another thread is about to write could pass the new handlers by.
     */
    private static void guard(HttpConnection connection) {
        ChannelPipeline pipeline = ((ConnectionBase) connection).channel().pipeline();
        ChannelHandlerContext codec = pipeline.context(HttpClientCodec.class);
        // A connection that was closed meanwhile has no codec.
        if (codec != null && pipeline.get(ResponseEndGuard.NAME) == null) {
            new ResponseHeadGuard().addTo(pipeline, codec.name());
            new ResponseEndGuard().addTo(pipeline, codec.name());
        }
    }

    /** Closes the client and its connections. */
    public Future<Void> close() {
        return client.close();
    }
}
