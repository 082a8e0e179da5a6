package org.verbenatally.entry.target;

import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.config.Target;
import org.verbenatally.http.ConnectionHistory;
import org.verbenatally.http.ConnectionHistory.Exchange;
import org.verbenatally.http.GuardedHttpClient;
import org.verbenatally.http.ResponseHeads;
import org.verbenatally.time.TimedAwait;

/** HTTP client for all requests to targets. Methods wait and must run in a virtual-thread task. */
final class TargetHttpClient {
    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_CONNECTIONS_PER_TARGET = 4_096;
    private static final int KEEP_ALIVE_SECONDS = 10;
    private static final int MAX_HEADER_BYTES = 8_192;

    private final Vertx vertx;
    private final GuardedHttpClient unpooledClient;
    private final GuardedHttpClient pooledClient;
    private final GuardedHttpClient loadClient;
    private final ConnectionHistory history = new ConnectionHistory();

    TargetHttpClient(Vertx vertx) {
        this.vertx = vertx;
        this.unpooledClient = new GuardedHttpClient(vertx, clientOptions().setKeepAlive(false), poolOptions());
        this.pooledClient = new GuardedHttpClient(vertx, pooledOptions(), poolOptions());
        this.loadClient = new GuardedHttpClient(vertx, pooledOptions(), poolOptions());
    }

    private static HttpClientOptions clientOptions() {
        return new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setTcpNoDelay(true);
    }

    private static HttpClientOptions pooledOptions() {
        return clientOptions().setKeepAlive(true).setKeepAliveTimeout(KEEP_ALIVE_SECONDS);
    }

    private static PoolOptions poolOptions() {
        return new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_TARGET);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Begins an exchange on a new connection, which is closed after it. */
    Exchange connect(Target target, HttpMethod method, String uri) throws TargetFailure {
        return connect(unpooledClient, target, method, uri);
    }

    /** Begins an exchange on a pooled connection, or on a new one if none is idle. */
    Exchange connectPooled(Target target, HttpMethod method, String uri) throws TargetFailure {
        return connect(pooledClient, target, method, uri);
    }

    /** Begins an exchange for a load report, on a pooled connection that carries no other requests. */
    Exchange connectForLoad(Target target, String uri) throws TargetFailure {
        return connect(loadClient, target, HttpMethod.GET, uri);
    }

    private Exchange connect(GuardedHttpClient client, Target target, HttpMethod method, String uri)
            throws TargetFailure {
        Optional<Exchange> exchange = Optional.empty();
        while (exchange.isEmpty()) {
            exchange = history.begin(request(client, target, method, uri));
        }
        return exchange.get();
    }

    private static HttpClientRequest request(GuardedHttpClient client, Target target, HttpMethod method, String uri)
            throws TargetFailure {
        RequestOptions options = new RequestOptions()
                .setHost(target.address().host())
                .setPort(target.address().port())
                .setMethod(method)
                .setURI(uri);
        Future<HttpClientRequest> future;
        try {
            // Failures are reported by the request's futures; a reset request needs no second report.
            future = client.request(options).onSuccess(request -> request.exceptionHandler(e -> {}));
        } catch (IllegalStateException e) {
            throw notConnected(target, e);
        }
        try {
            return TimedAwait.await(future, CONNECT_TIMEOUT.plusMillis(500));
        } catch (TimeoutException e) {
            future.onSuccess(HttpClientRequest::reset);
            throw new TargetFailure(target.id(), TargetFailure.Cause.NOT_CONNECTED, "connect timed out", e);
        } catch (RuntimeException e) {
            throw notConnected(target, e);
        } catch (Exception e) {
            // Future.await throws the original checked exception without declaring it.
            throw notConnected(target, e);
        }
    }

    private static TargetFailure notConnected(Target target, Exception e) {
        boolean refused = e instanceof ConnectException
                && e.getMessage() != null
                && e.getMessage().contains("refused");
        TargetFailure.Cause cause =
                refused ? TargetFailure.Cause.CONNECTION_REFUSED : TargetFailure.Cause.NOT_CONNECTED;
        return new TargetFailure(target.id(), cause, refused ? "connection refused" : "connect failed", e);
    }

    /**
     * Sends the request and waits for the head of the response, which is returned paused. Once this method is called,
     * bytes may have been sent.
     */
    HttpClientResponse send(Target target, Exchange exchange, Buffer body, Duration timeout) throws TargetFailure {
        HttpClientRequest request = exchange.request();
        Future<HttpClientResponse> sendFuture = body == null ? request.send() : request.send(body);
        Future<HttpClientResponse> headFuture = sendFuture.onSuccess(
                response -> response.exceptionHandler(e -> {}).pause());
        try {
            HttpClientResponse response = TimedAwait.await(headFuture, timeout);
            if (ResponseHeads.isJoined(response)) {
                throw new IllegalArgumentException("the head of the response holds that of another one");
            }
            return response;
        } catch (TimeoutException e) {
            exchange.cancel();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.SILENT, "no response within " + timeout.toMillis() + " ms", e);
        } catch (IllegalArgumentException e) {
            exchange.cancel();
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, e.getMessage(), e);
        } catch (Exception e) {
            exchange.cancel();
            throw new TargetFailure(
                    target.id(),
                    TargetFailure.Cause.BROKEN,
                    e instanceof ClosedChannelException ? "connection closed" : "connection lost",
                    e);
        }
    }

    /** Reads the complete body of a paused response. */
    Buffer readBody(Target target, Exchange exchange, HttpClientResponse response, int maxBytes, Duration timeout)
            throws TargetFailure {
        Promise<Buffer> complete = Promise.promise();
        Buffer collected = Buffer.buffer();
        response.handler(chunk -> {
            if (collected.length() + chunk.length() > maxBytes) {
                complete.tryFail(new IllegalArgumentException("response is longer than " + maxBytes + " bytes"));
            } else {
                collected.appendBuffer(chunk);
            }
        });
        response.exceptionHandler(complete::tryFail);
        response.endHandler(v -> complete.tryComplete(collected));
        response.resume();
        try {
            return TimedAwait.await(complete.future(), timeout);
        } catch (TimeoutException e) {
            exchange.cancel();
            throw new TargetFailure(target.id(), TargetFailure.Cause.SILENT, "response was not complete in time", e);
        } catch (IllegalArgumentException e) {
            exchange.cancel();
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, e.getMessage(), e);
        } catch (Exception e) {
            exchange.cancel();
            throw new TargetFailure(target.id(), TargetFailure.Cause.BROKEN, "connection lost during the response", e);
        }
    }
}
