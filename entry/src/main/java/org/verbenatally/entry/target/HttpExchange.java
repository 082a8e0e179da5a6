package org.verbenatally.entry.target;

import java.net.ConnectException;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.config.Target;
import org.verbenatally.time.TimedAwait;

/** The HTTP clients that all exchanges with targets share. Methods wait and must run in a virtual-thread task. */
final class HttpExchange {
    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private static final int MAX_CONNECTIONS_PER_TARGET = 4_096;
    private static final int MAX_HEADER_BYTES = 8_192;

    private final Vertx vertx;
    private final HttpClient fresh;
    private final HttpClient pooled;

    HttpExchange(Vertx vertx) {
        this.vertx = vertx;
        this.fresh = vertx.createHttpClient(options().setKeepAlive(false), pool());
        this.pooled = vertx.createHttpClient(options().setKeepAlive(true).setKeepAliveTimeout(10), pool());
    }

    private static HttpClientOptions options() {
        return new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setTcpNoDelay(true);
    }

    private static PoolOptions pool() {
        return new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_TARGET);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Opens a connection that no request has used before. */
    HttpClientRequest connect(Target target, HttpMethod method, String uri) throws TargetFailure {
        return connect(fresh, target, method, uri);
    }

    /** Takes a pooled connection or opens one. */
    HttpClientRequest reuse(Target target, HttpMethod method, String uri) throws TargetFailure {
        return connect(pooled, target, method, uri);
    }

    private HttpClientRequest connect(HttpClient client, Target target, HttpMethod method, String uri)
            throws TargetFailure {
        RequestOptions options = new RequestOptions()
                .setHost(target.address().host())
                .setPort(target.address().port())
                .setMethod(method)
                .setURI(uri);
        Future<HttpClientRequest> future;
        try {
            // Failures are reported by the futures of each exchange; a reset request needs no second report.
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
            // Future.await throws the original checked exception undeclared.
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

    /** Sends the request and waits for the head of the answer; from here on bytes may have left. */
    HttpClientResponse send(Target target, HttpClientRequest request, Buffer body, Duration silence)
            throws TargetFailure {
        Future<HttpClientResponse> sent = body == null ? request.send() : request.send(body);
        Future<HttpClientResponse> answer =
                sent.onSuccess(response -> response.exceptionHandler(e -> {}).pause());
        try {
            return TimedAwait.await(answer, silence);
        } catch (TimeoutException e) {
            request.reset();
            throw new TargetFailure(
                    target.id(), TargetFailure.Cause.SILENT, "no answer within " + silence.toMillis() + " ms", e);
        } catch (Exception e) {
            request.reset();
            throw new TargetFailure(
                    target.id(),
                    TargetFailure.Cause.BROKEN,
                    e instanceof ClosedChannelException ? "connection closed" : "connection lost",
                    e);
        }
    }

    /** Reads the whole body of a paused answer. */
    Buffer body(Target target, HttpClientRequest request, HttpClientResponse response, int maxBytes, Duration timeout)
            throws TargetFailure {
        Promise<Buffer> whole = Promise.promise();
        Buffer collected = Buffer.buffer();
        response.handler(part -> {
            if (collected.length() + part.length() > maxBytes) {
                whole.tryFail(new IllegalArgumentException("answer is longer than " + maxBytes + " bytes"));
            } else {
                collected.appendBuffer(part);
            }
        });
        response.exceptionHandler(whole::tryFail);
        response.endHandler(v -> whole.tryComplete(collected));
        response.resume();
        try {
            return TimedAwait.await(whole.future(), timeout);
        } catch (TimeoutException e) {
            request.reset();
            throw new TargetFailure(target.id(), TargetFailure.Cause.SILENT, "answer did not end in time", e);
        } catch (IllegalArgumentException e) {
            request.reset();
            throw new TargetFailure(target.id(), TargetFailure.Cause.BAD_ANSWER, e.getMessage(), e);
        } catch (Exception e) {
            request.reset();
            throw new TargetFailure(target.id(), TargetFailure.Cause.BROKEN, "connection lost within the answer", e);
        }
    }
}
