package org.verbenatally.standin;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Context;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * HTTP server of a stand-in with a single event loop. All handlers, timers and tasks of {@link #call} run on one
 * thread, so stand-ins need no locks.
 */
final class StandinHost implements AutoCloseable {
    private static final long MAX_BODY_BYTES = 16L << 20;
    private static final long TIMEOUT_SECONDS = 10;

    private final String host;
    private final int port;
    private final Vertx vertx;
    private final Context context;
    private final Set<HttpConnection> connections = new HashSet<>();
    private HttpServer server;
    private int boundPort;

    StandinHost(String host, int port) {
        this.host = host;
        this.port = port;
        vertx = Vertx.vertx(
                new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1));
        context = vertx.getOrCreateContext();
    }

    Vertx vertx() {
        return vertx;
    }

    int port() {
        return boundPort;
    }

    /** Starts listening and returns the bound port. */
    int start(Handler<HttpServerRequest> handler) {
        server = vertx.createHttpServer(new HttpServerOptions()
                        .setHost(host)
                        .setPort(port)
                        .setReuseAddress(true)
                        .setMaxInitialLineLength(16_384)
                        .setMaxHeaderSize(32_768))
                .connectionHandler(connection -> {
                    connections.add(connection);
                    connection.closeHandler(closed -> connections.remove(connection));
                })
                .requestHandler(request -> {
                    try {
                        handler.handle(request);
                    } catch (IllegalArgumentException | ClassCastException | DecodeException e) {
                        respondError(request, 400, e.getMessage());
                    }
                });
        await(server.listen().toCompletionStage().toCompletableFuture());
        boundPort = server.actualPort();
        return boundPort;
    }

    /** Runs a task on the event loop and returns its result. Must be called from another thread. */
    <T> T call(Callable<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return await(result);
    }

    /** Closes the listener and all connections, as a dying process does. Returns without waiting for this. */
    void abort() {
        context.runOnContext(ignored -> {
            server.close();
            dropConnections();
        });
    }

    private void dropConnections() {
        Set.copyOf(connections).forEach(HttpConnection::close);
    }

    /** Closes all open connections except that of the request, and answers the request; the listener stays open. */
    void dropConnections(HttpServerRequest request) {
        Set.copyOf(connections).stream()
                .filter(connection -> connection != request.connection())
                .forEach(HttpConnection::close);
        request.response().setStatusCode(204).end();
    }

    @Override
    public void close() {
        await(vertx.close().toCompletionStage().toCompletableFuture());
    }

    private static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException e) {
            if (e.getCause() instanceof RuntimeException cause) {
                throw cause;
            }
            throw new IllegalStateException(e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            throw new IllegalStateException("stand-in did not respond within " + TIMEOUT_SECONDS + " s", e);
        }
    }

    /**
     * Reads a JSON body and passes it to a handler; responds with status 400 or 413 if that fails. An empty body is
     * read as an empty object.
     */
    static void readJson(HttpServerRequest request, Handler<JsonObject> handler) {
        String length = request.getHeader("Content-Length");
        if (length != null && Long.parseLong(length) > MAX_BODY_BYTES) {
            respondError(request, 413, "body must be at most " + MAX_BODY_BYTES + " bytes");
            return;
        }
        request.body().onSuccess(body -> {
            try {
                handler.handle(body.length() == 0 ? new JsonObject() : new JsonObject(body));
            } catch (DecodeException | IllegalArgumentException | ClassCastException | NullPointerException e) {
                respondError(request, 400, String.valueOf(e.getMessage()));
            }
        });
    }

    static void respondJson(HttpServerRequest request, int status, String body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(body);
        }
    }

    static void respondJson(HttpServerRequest request, int status, JsonObject body) {
        respondJson(request, status, body.encode());
    }

    static void respondError(HttpServerRequest request, int status, String message) {
        respondJson(request, status, new JsonObject().put("error", message));
    }

    static void respondNotRun(HttpServerRequest request, String reason) {
        respondJson(request, 503, new JsonObject().put("reason", reason));
    }
}
