package org.verbenatally.entry;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** An engine that generates a fixed response and injects faults. */
final class FakeEngine {
    static final int TOKENS = 6;

    final List<JsonObject> starts = new CopyOnWriteArrayList<>();
    final List<String> cancels = new CopyOnWriteArrayList<>();
    final String id;
    private final Vertx vertx;
    private final Queue<String> faults;
    private final Map<String, Generation> generations = new ConcurrentHashMap<>();
    private HttpServer server;
    volatile boolean leaving;

    private static final class Generation {
        final String fault;
        int attachments;
        boolean known = true;
        HttpServerResponse openResponse;

        Generation(String fault) {
            this.fault = fault;
        }
    }

    /** Creates an engine. Each start takes its fault from the queue, which several engines may share. */
    FakeEngine(Vertx vertx, String id, Queue<String> faults) {
        this.vertx = vertx;
        this.id = id;
        this.faults = faults;
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
        String path = request.path();
        if (path.equals("/v1/load")) {
            request.response().end(load().toBuffer());
        } else if (request.method().equals(HttpMethod.POST)) {
            request.body().onSuccess(body -> create(request, body.toJsonObject()));
        } else {
            String generationId = path.substring(path.lastIndexOf('/') + 1);
            Generation generation = generations.get(generationId);
            if (generation == null || !generation.known) {
                request.response().setStatusCode(404).end();
            } else if (request.method().equals(HttpMethod.DELETE)) {
                cancels.add(generationId);
                int number = Integer.parseInt(request.getParam("attachment"));
                request.response()
                        .setStatusCode(number < generation.attachments ? 409 : 204)
                        .end();
            } else {
                attach(request, generationId, generation, Integer.parseInt(request.getParam("from")), false);
            }
        }
    }

    private JsonObject load() {
        return new JsonObject()
                .put("target", id)
                .put("incarnation", 1)
                .put("atMs", System.currentTimeMillis())
                .put("running", 0)
                .put("waiting", 0)
                .put("kvUsedTokens", 0)
                .put("kvCapacityTokens", 100_000)
                .put("preemptions", 0)
                .put("models", new JsonArray().add("m1"))
                .put("role", "serve")
                .put("leaving", leaving);
    }

    private void create(HttpServerRequest request, JsonObject body) {
        String fault = faults.isEmpty() ? "none" : faults.poll();
        String generationId = body.getString("generation");
        switch (fault) {
            case "full", "leaving" -> {
                JsonObject reason = new JsonObject().put("reason", fault);
                request.response().setStatusCode(503).end(reason.toBuffer());
                return;
            }
            case "status-500" -> {
                request.response().setStatusCode(500).end();
                return;
            }
            case "reset-unknown" -> {
                starts.add(body);
                request.connection().close();
                return;
            }
            default -> starts.add(body);
        }
        Generation generation = new Generation(fault);
        generations.put(generationId, generation);
        if (fault.equals("reset-known")) {
            generation.attachments++;
            request.connection().close();
        } else {
            attach(request, generationId, generation, 0, true);
        }
    }

    private void attach(HttpServerRequest request, String id, Generation generation, int from, boolean first) {
        HttpServerResponse response = request.response();
        if (generation.fault.startsWith("lost-attach") && generation.attachments == 1) {
            generation.attachments++;
            request.connection().close();
            return;
        }
        if (generation.openResponse != null) {
            generation.openResponse.reset();
        }
        generation.openResponse = response;
        response.setChunked(true)
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Attachment", Integer.toString(++generation.attachments));
        String[] faultParts = generation.fault.split("@");
        int faultOffset = faultParts.length > 1 ? Integer.parseInt(faultParts[1]) : Integer.MAX_VALUE;
        for (int offset = from; offset < TOKENS; offset++) {
            if (first && offset == faultOffset) {
                if (injectFault(request, generation, faultParts[0], offset)) {
                    return;
                }
                continue;
            }
            response.write(token(id, offset));
        }
        if (faultParts[0].equals("slow")) {
            sendHeartbeats(response);
            return;
        }
        int count = faultParts[0].equals("wrong-count") ? TOKENS + 1 : TOKENS;
        response.end("event: end\ndata: {\"tokens\":" + count + ",\"preemptions\":0}\n\n");
    }

    private void sendHeartbeats(HttpServerResponse response) {
        vertx.setPeriodic(500, timer -> {
            if (response.closed()) {
                vertx.cancelTimer(timer);
            } else {
                response.write(": hb\n\n");
            }
        });
    }

    private static String token(String id, int offset) {
        return "id: " + offset + "\ndata: {\"t\":\"" + id.substring(0, 4) + '.' + offset + " \"}\n\n";
    }

    /** Injects a fault instead of a token; returns whether the response ends there. */
    private boolean injectFault(HttpServerRequest request, Generation generation, String fault, int offset) {
        HttpServerResponse response = request.response();
        switch (fault) {
            case "drop", "lost-attach" -> close(request);
            case "slow" -> sendHeartbeats(response);
            case "forget" -> {
                generation.known = false;
                close(request);
            }
            case "silent" -> response.write(": hb\n\n");
            case "gap" -> {
                return false;
            }
            case "bad-json" -> response.write("id: " + offset + "\ndata: {{{\n\n");
            case "long-line" -> response.write("data: " + "x".repeat(200_000));
            case "crash" -> {
                close(request);
                server.close();
            }
            default -> throw new IllegalArgumentException(fault);
        }
        return true;
    }

    /** Closes the connection after the bytes written so far have been sent. */
    private void close(HttpServerRequest request) {
        request.response()
                .write(": bye\n\n")
                .onComplete(done -> vertx.setTimer(50, t -> request.connection().close()));
    }
}
