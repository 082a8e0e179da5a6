package org.verbenatally.entry.caller;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.LoadPoller;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.PolicySuite;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.time.SystemTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/** Unexpected exceptions while the tokens of an engine are delivered. The engine never ends its generations. */
class EngineRunErrorTest {
    private final Vertx vertx = Vertx.vertx();
    private final SystemTimerService timer = new SystemTimerService();
    private final CompletableFuture<Void> engineConnectionClosed = new CompletableFuture<>();
    private final CompletableFuture<Exception> failure = new CompletableFuture<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private CallerComponents components;

    /** A format that fails at the second token. */
    private record FailingFormat() implements StreamResponse.EventFormat {
        @Override
        public String start(String requestId, String generation, String streamToken) {
            return "";
        }

        @Override
        public String token(String streamToken, long offset, String text) {
            if (offset == 1) {
                throw new IllegalStateException("for the test");
            }
            return "data: " + text + "\n\n";
        }

        @Override
        public String end(long tokens) {
            return "event: end\n\n";
        }

        @Override
        public String error(JsonObject problem) {
            return "event: error\ndata: " + problem.getString("type") + ' ' + problem.getString("outcome") + "\n\n";
        }
    }

    @BeforeEach
    void start() throws Exception {
        ConfigHolder<Deployment> config = new ConfigHolder<>();
        config.offer(ConfigReader.readDocument(
                "test", deployment(startEngine()).toBuffer().getBytes()));
        TargetTable targets = new TargetTable(timer);
        SuspectTable suspects = new SuspectTable(timer);
        Dispatcher dispatcher =
                new Dispatcher(timer, targets, suspects, new FailureDomain("Bole"), PolicySuite.byName("headroom"));
        dispatcher.configure(config.deployment().orElseThrow());
        TargetClients clients = new TargetClients(vertx);
        components = new CallerComponents(
                timer,
                config,
                dispatcher,
                targets,
                suspects,
                clients,
                new LoadPoller(clients, vertx.getOrCreateContext(), timer, config, targets, id -> {}),
                null,
                new StreamTokens(List.of("0123456789012345678901234567890123456789")),
                new EntryMetrics(),
                new RequestLog(),
                new OrganisationLimits(),
                new LiveRuns());
    }

    @AfterEach
    void stop() {
        client.shutdownNow();
        components.dispatcher().close();
        timer.close();
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static JsonObject deployment(int enginePort) {
        return new JsonObject()
                .put("deployment", "test")
                .put("version", 1)
                .put(
                        "organisations",
                        new JsonArray().add(new JsonObject().put("id", "tana").put("credentialSha256", "0".repeat(64))))
                .put(
                        "kinds",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("name", "guide")
                                        .put("runsOn", "engine")
                                        .put("model", "m1")
                                        .put("urgency", "urgent")
                                        .put("value", "high")
                                        .put("repeatable", true)
                                        .put("delivery", "stream")
                                        .put("deadlineMs", 20_000)))
                .put(
                        "targets",
                        new JsonArray()
                                .add(new JsonObject()
                                        .put("id", "engine-0")
                                        .put("type", "engine")
                                        .put("host", "127.0.0.1")
                                        .put("port", enginePort)
                                        .put("failureDomain", "Bole")
                                        .put(
                                                "models",
                                                new JsonArray()
                                                        .add(new JsonObject()
                                                                .put("model", "m1")
                                                                .put("version", "1")))));
    }

    private static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private int startEngine() throws Exception {
        return join(vertx.createHttpServer()
                        .requestHandler(request -> {
                            request.response().closeHandler(v -> engineConnectionClosed.complete(null));
                            request.response().setChunked(true).putHeader("Attachment", "1");
                            request.response().write("id: 0\ndata: {\"t\":\"a\"}\n\nid: 1\ndata: {\"t\":\"b\"}\n\n");
                            vertx.setPeriodic(500, id -> request.response().write(": hb\n\n"));
                        })
                        .listen(0, "127.0.0.1"))
                .actualPort();
    }

    private GenerationRequest generationRequest() {
        Deployment deployment = components.config().deployment().orElseThrow();
        return new GenerationRequest(
                deployment.kinds().get(new KindName("guide")),
                deployment.organisations().get(new OrganisationId("tana")),
                "hello",
                10,
                0,
                new Fingerprint(0, 0),
                timer.nanos(),
                timer.nanos() + TimeUnit.SECONDS.toNanos(20));
    }

    /** Runs one generation for a caller and returns what the caller receives. */
    private CompletableFuture<HttpResponse<String>> call() throws Exception {
        CompletableFuture<Integer> port = new CompletableFuture<>();
        join(vertx.deployVerticle(
                () -> new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        return vertx.createHttpServer()
                                .requestHandler(EngineRunErrorTest.this::handle)
                                .listen(0, "127.0.0.1")
                                .onSuccess(server -> port.complete(server.actualPort()));
                    }
                },
                new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD)));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port.join()))
                .version(HttpClient.Version.HTTP_1_1)
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private void handle(HttpServerRequest request) {
        Exchange exchange = new Exchange(request, timer.nanos());
        CallerResponse response = new StreamResponse(vertx, exchange, false, new FailingFormat());
        try {
            new EngineRun(components, vertx, exchange, response, generationRequest()).run();
        } catch (IllegalStateException e) {
            failure.complete(e);
        }
    }

    /** Guards against a caller whose stream stays open, with keep-alives, after the task that serves it has failed. */
    @Test
    void streamEndsWithAnError() throws Exception {
        HttpResponse<String> response = call().get(5, TimeUnit.SECONDS);

        assertThat(response.body()).endsWith("data: a\n\nevent: error\ndata: internal-error unknown\n\n");
    }

    /** Guards against slots of a target and an organisation that a failed request occupies for good. */
    @Test
    void inFlightRequestIsEnded() throws Exception {
        call();

        assertThat(failure.get(5, TimeUnit.SECONDS)).hasMessage("for the test");
        assertThat(components.dispatcher().inFlightRequests()).isZero();
    }

    /** Guards against an engine that generates tokens for a request that has failed. */
    @Test
    void engineConnectionIsClosed() throws Exception {
        call();

        engineConnectionClosed.get(5, TimeUnit.SECONDS);
    }
}
