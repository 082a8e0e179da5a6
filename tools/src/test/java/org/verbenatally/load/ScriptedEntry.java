package org.verbenatally.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Address;
import org.verbenatally.core.GenerationId;

/**
 * Forwards generations to engine stand-ins in turn, without the guarantees of a real entry. Responds to calls of
 * services itself.
 */
final class ScriptedEntry implements AutoCloseable {
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(10_000));
    private final AtomicInteger sequence = new AtomicInteger();
    private final List<Address> engines;

    ScriptedEntry(List<Address> engines) {
        this.engines = engines;
    }

    Address start() throws Exception {
        var server = vertx.createHttpServer().requestHandler(this::handle).listen(0, "127.0.0.1");
        return new Address(
                "127.0.0.1",
                server.toCompletionStage()
                        .toCompletableFuture()
                        .get(20, TimeUnit.SECONDS)
                        .actualPort());
    }

    private void handle(HttpServerRequest request) {
        if (request.path().startsWith("/v1/keys/")) {
            request.response().setStatusCode(201).end("{\"key\":\"k" + sequence.getAndIncrement() + "\"}");
            return;
        }
        request.body().onSuccess(body -> {
            JsonObject work = new JsonObject(body);
            if (work.containsKey("prompt")) {
                generate(request, work);
            } else {
                request.response().putHeader("Outcome", "done").end(body);
            }
        });
    }

    private void generate(HttpServerRequest request, JsonObject work) {
        Address engine = engines.get(sequence.getAndIncrement() % engines.size());
        GenerationId id = GenerationId.random();
        JsonObject engineRequest = work.copy().put("generation", id.value()).put("model", "m");
        request.response().setChunked(true).putHeader("Content-Type", "text/event-stream");
        request.response().write("event: start\ndata: " + new JsonObject().put("generation", id.value()) + "\n\n");
        client.request(HttpMethod.POST, engine.port(), engine.host(), "/v1/generations")
                .compose(opened -> opened.send(engineRequest.toBuffer()))
                .onSuccess(response -> {
                    response.handler(request.response()::write);
                    response.endHandler(ignored -> request.response().end());
                });
    }

    @Override
    public void close() {
        vertx.close();
    }
}
