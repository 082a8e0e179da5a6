package org.verbenatally.entry.operator;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.settings.ListenerSettings;

/** The HTTP server for operators: health checks, metrics, status, explanations of requests and graceful shutdown. */
public final class OperatorServer {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final String EXPLAIN = "/operator/explain/";

    private final Vertx vertx;
    private final Components components;

    /**
     * The data that the server reports and the action that it can start.
     *
     * @param notReadyReason why the entry is not ready; empty if it is
     * @param status the state of the entry
     * @param errorBudget the consumption of the error budget
     * @param metrics the metrics of the entry
     * @param log the traces of recent requests
     * @param drain starts a graceful shutdown
     */
    public record Components(
            Supplier<Optional<String>> notReadyReason,
            Supplier<JsonObject> status,
            Supplier<JsonObject> errorBudget,
            EntryMetrics metrics,
            RequestLog log,
            Runnable drain) {}

    /** Creates a server without starting it. */
    public OperatorServer(Vertx vertx, Components components) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.components = Objects.requireNonNull(components, "components");
    }

    /** Starts listening; the future completes with the port. */
    public Future<Integer> listen(ListenerSettings settings) {
        HttpServer server = vertx.createHttpServer(new HttpServerOptions().setMaxHeaderSize(8_192));
        return server.requestHandler(this::handle)
                .listen(settings.getPort(), settings.getHost())
                .map(HttpServer::actualPort);
    }

    private void handle(HttpServerRequest request) {
        try {
            String path = request.path() == null ? "" : request.path();
            boolean drain = path.equals("/operator/drain");
            if (!request.method().equals(drain ? HttpMethod.POST : HttpMethod.GET)) {
                request.response().setStatusCode(METHOD_NOT_ALLOWED).end();
                return;
            }
            switch (path) {
                case "/live" -> send(request, OK, new JsonObject().put("live", true));
                case "/ready" -> ready(request);
                case "/metrics" ->
                    request.response()
                            .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                            .end(components.metrics().scrape());
                case "/operator/status" -> send(request, OK, components.status().get());
                case "/operator/burn" ->
                    send(request, OK, components.errorBudget().get());
                case "/operator/drain" -> {
                    components.drain().run();
                    send(request, ACCEPTED, new JsonObject().put("draining", true));
                }
                default -> explain(request, path);
            }
        } catch (RuntimeException e) {
            send(request, INTERNAL_ERROR, new JsonObject().put("error", String.valueOf(e.getMessage())));
        }
    }

    private void ready(HttpServerRequest request) {
        Optional<String> reason = components.notReadyReason().get();
        JsonObject body = new JsonObject().put("ready", reason.isEmpty());
        reason.ifPresent(text -> body.put("reason", text));
        send(request, reason.isEmpty() ? OK : UNAVAILABLE, body);
    }

    private void explain(HttpServerRequest request, String path) {
        Optional<RequestTrace> trace =
                path.startsWith(EXPLAIN) ? components.log().find(path.substring(EXPLAIN.length())) : Optional.empty();
        if (trace.isEmpty()) {
            send(request, NOT_FOUND, new JsonObject().put("error", "not found"));
            return;
        }
        JsonArray steps = new JsonArray();
        trace.get()
                .steps()
                .forEach(step ->
                        steps.add(new JsonObject().put("atMs", step.atMs()).put("text", step.text())));
        send(
                request,
                OK,
                new JsonObject()
                        .put("request", trace.get().request())
                        .put("organisation", trace.get().organisation())
                        .put("kind", trace.get().kind())
                        .put("steps", steps));
    }

    private static void send(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().headWritten()) {
            request.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(body.toBuffer());
        }
    }
}
