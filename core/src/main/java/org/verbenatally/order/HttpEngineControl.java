package org.verbenatally.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.config.Target;
import org.verbenatally.config.Target.LoadedModel;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.http.GuardedHttpClient;
import org.verbenatally.http.ResponseHeads;

/** Client of the engines' HTTP interface: {@code GET /v1/load} and {@code POST /v1/orders}. */
public final class HttpEngineControl implements EngineControl, AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final GuardedHttpClient client;

    /**
     * Creates a client. Connections are not kept alive: reads are rare, an idle connection may have failed unnoticed,
     * and a response does not state to which request it belongs.
     */
    public HttpEngineControl(Vertx vertx) {
        client = new GuardedHttpClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout((int) TIMEOUT.toMillis())
                        .setKeepAlive(false));
    }

    @Override
    public CompletableFuture<EngineState> state(Target engine) {
        return call(engine, HttpMethod.GET, "/v1/load", Buffer.buffer(), 200).thenApply(b -> parse(engine, b));
    }

    @Override
    public CompletableFuture<Void> send(Target engine, EngineOrder order) {
        ObjectNode body = MAPPER.createObjectNode().put("fence", order.fence().value());
        order.model().ifPresent(m -> body.put("model", m.value()));
        order.adapter().ifPresent(a -> body.put("adapter", a));
        order.version().ifPresent(v -> body.put("version", v));
        body.put("role", order.role());
        return call(engine, HttpMethod.POST, "/v1/orders", Buffer.buffer(body.toString()), 202)
                .thenAccept(b -> {});
    }

    private CompletableFuture<Buffer> call(
            Target engine, HttpMethod method, String uri, Buffer body, int expectedStatus) {
        var options = new RequestOptions()
                .setMethod(method)
                .setHost(engine.address().host())
                .setPort(engine.address().port())
                .setURI(uri)
                .setTimeout(TIMEOUT.toMillis());
        var result = new CompletableFuture<Buffer>();
        client.request(options)
                .compose(request ->
                        request.putHeader("Content-Type", "application/json").send(body))
                .compose(response -> response.body().map(b -> {
                    if (ResponseHeads.isJoined(response)) {
                        throw failure(engine, "the head of the response holds that of another one", null);
                    }
                    if (response.statusCode() != expectedStatus || b.length() > MAX_BODY_BYTES) {
                        throw failure(engine, "status " + response.statusCode() + ", expected " + expectedStatus, null);
                    }
                    return b;
                }))
                .onSuccess(result::complete)
                .onFailure(e -> result.completeExceptionally(
                        e instanceof StepException ? e : failure(engine, e.getMessage(), e)));
        return result;
    }

    private static EngineState parse(Target engine, Buffer body) {
        try {
            JsonNode json = MAPPER.readTree(body.getBytes());
            List<LoadedModel> models = new ArrayList<>();
            for (JsonNode m : json.path("models")) {
                List<String> adapters = new ArrayList<>();
                m.path("adapters").forEach(a -> adapters.add(a.asText()));
                models.add(new LoadedModel(
                        new ModelName(m.path("model").asText()),
                        m.path("version").asText(),
                        adapters));
            }
            return new EngineState(
                    json.path("incarnation").asText(),
                    json.path("role").asText(),
                    models,
                    json.path("leaving").asBoolean());
        } catch (java.io.IOException | IllegalArgumentException e) {
            throw failure(engine, "invalid load report: " + e.getMessage(), e);
        }
    }

    private static StepException failure(Target engine, String message, Throwable cause) {
        return new StepException(Step.ORDER, engine.id().value(), Outcome.UNKNOWN, message, cause);
    }

    @Override
    public void close() {
        client.close();
    }
}
