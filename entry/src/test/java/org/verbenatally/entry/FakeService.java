package org.verbenatally.entry;

import java.util.Queue;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/** A plain service that counts its runs and injects faults. */
final class FakeService {
    private final Vertx vertx;
    private final Queue<String> faults;
    private final AtomicInteger runs;
    private HttpServer server;

    FakeService(Vertx vertx, Queue<String> faults, AtomicInteger runs) {
        this.vertx = vertx;
        this.faults = faults;
        this.runs = runs;
    }

    int start() {
        server = vertx.createHttpServer().requestHandler(this::handle);
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    void stop() {
        server.close().toCompletionStage().toCompletableFuture().join();
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals("/v1/load")) {
            request.response()
                    .end(new JsonObject()
                            .put("running", 0)
                            .put("leaving", false)
                            .toBuffer());
            return;
        }
        request.body().onSuccess(body -> run(request));
    }

    private void run(HttpServerRequest request) {
        String fault = faults.isEmpty() ? "none" : faults.poll();
        if (fault.equals("full") || fault.equals("leaving")) {
            request.response().setStatusCode(503).end("{\"reason\":\"" + fault + "\"}");
            return;
        }
        if (fault.equals("status-503")) {
            runs.incrementAndGet();
            request.response().setStatusCode(503).end("{\"reason\":\"some other reason\"}");
            return;
        }
        int run = runs.incrementAndGet();
        switch (fault) {
            case "reset" -> request.connection().close();
            case "silent" -> {
                // No response is sent.
            }
            case "status-500" -> request.response().setStatusCode(500).end();
            case "status-409" -> request.response().setStatusCode(409).end("{\"conflict\":true}");
            case "half" -> {
                request.response().putHeader("Content-Length", "100").write("{\"run\":");
                vertx.setTimer(50, t -> request.connection().close());
            }
            default -> request.response().end("{\"run\":" + run + "}");
        }
    }
}
