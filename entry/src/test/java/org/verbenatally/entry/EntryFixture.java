package org.verbenatally.entry;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.SettingsReader;

/** One entry in this process, with fake engines, services and platform, and an HTTP client for callers. */
final class EntryFixture implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    final Queue<String> engineFaults = new ConcurrentLinkedQueue<>();
    final Queue<String> serviceFaults = new ConcurrentLinkedQueue<>();
    final AtomicInteger serviceRuns = new AtomicInteger();
    final List<FakeEngine> engines = new ArrayList<>();
    final List<FakeService> services = new ArrayList<>();
    final EntryServer server;
    final EntryServer.Ports ports;
    private final Vertx vertx = Vertx.vertx();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    EntryFixture() throws Exception {
        this(20);
    }

    /** Creates a fixture whose entry ends open requests {@code drainSeconds} after the start of a graceful shutdown. */
    EntryFixture(int drainSeconds) throws Exception {
        JsonArray targets = new JsonArray();
        for (int i = 0; i < 2; i++) {
            FakeEngine engine = new FakeEngine(vertx, "engine-" + i, engineFaults);
            engines.add(engine);
            targets.add(target("engine-" + i, "engine", engine.start())
                    .put(
                            "models",
                            new JsonArray()
                                    .add(new JsonObject().put("model", "m1").put("version", "1"))));
            FakeService service = new FakeService(vertx, serviceFaults, serviceRuns);
            services.add(service);
            targets.add(target("service-" + i, "service", service.start()));
        }
        byte[] document = deployment(targets).toBuffer().getBytes();
        int platform = vertx.createHttpServer()
                .requestHandler(request -> {
                    if (request.path().equals("/v1/instances")) {
                        request.response().end("[]");
                    } else if ("0".equals(request.getParam("after"))) {
                        request.response()
                                .putHeader("Config-Version", "1")
                                .end(io.vertx.core.buffer.Buffer.buffer(document));
                    } else {
                        vertx.setTimer(
                                5_000,
                                t -> request.response().setStatusCode(304).end());
                    }
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
        server = new EntryServer(SettingsReader.read(
                "test", settings(platform, drainSeconds).toBuffer().getBytes()));
        ports = server.start();
        await(() -> operator("GET", "/ready").statusCode() == 200);
    }

    private static JsonObject target(String id, String type, int port) {
        return new JsonObject()
                .put("id", id)
                .put("type", type)
                .put("host", "127.0.0.1")
                .put("port", port)
                .put("failureDomain", "Bole");
    }

    private static JsonObject deployment(JsonArray targets) throws Exception {
        return new JsonObject()
                .put("deployment", "test")
                .put("version", 1)
                .put("limits", new JsonObject().put("maxBodyBytes", 4_096))
                .put(
                        "organisations",
                        new JsonArray()
                                .add(organisation("tana").put("defaultKind", "guide"))
                                .add(organisation("gibe"))
                                .add(organisation("slow").put("requestsPerSecond", 0.5)))
                .put(
                        "kinds",
                        new JsonArray()
                                .add(kind("guide", "engine", true, "stream"))
                                .add(kind("once", "engine", false, "stream"))
                                .add(kind("summary", "engine", true, "whole"))
                                .add(kind("check", "service", true, "whole"))
                                .add(kind("book", "service", false, "whole")))
                .put("targets", targets);
    }

    private static JsonObject organisation(String id) throws Exception {
        byte[] digest = MessageDigest.getInstance("SHA-256").digest((id + "-secret").getBytes(StandardCharsets.UTF_8));
        return new JsonObject()
                .put("id", id)
                .put("credentialSha256", HexFormat.of().formatHex(digest));
    }

    private static JsonObject kind(String name, String runsOn, boolean repeatable, String delivery) {
        JsonObject kind = new JsonObject()
                .put("name", name)
                .put("runsOn", runsOn)
                .put("urgency", "urgent")
                .put("value", "high")
                .put("repeatable", repeatable)
                .put("delivery", delivery)
                .put("deadlineMs", 20_000);
        return runsOn.equals("engine") ? kind.put("model", "m1") : kind;
    }

    private static JsonObject settings(int platform, int drainSeconds) {
        JsonObject listener = new JsonObject().put("host", "127.0.0.1").put("port", 0);
        return new JsonObject()
                .put("instance", "entry-1")
                .put("failureDomain", "Bole")
                .put("deployment", "test")
                .put("callers", listener)
                .put("operator", listener)
                .put("peers", listener)
                .put("platform", listener.copy().put("port", platform))
                .put("streamKeys", new JsonArray().add("0123456789012345678901234567890123456789"))
                .put("drainSeconds", drainSeconds)
                .put("seed", 1);
    }

    static void await(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition was not met within " + TIMEOUT);
            }
            Thread.onSpinWait();
        }
    }

    int starts() {
        return engines.stream().mapToInt(engine -> engine.starts.size()).sum();
    }

    HttpResponse<String> operator(String method, String path) {
        return send(request(ports.operator(), method, path, null));
    }

    /** Sends a request of organisation tana. Headers are pairs of name and value; they replace the headers of tana. */
    HttpResponse<String> call(String method, String path, String body, String... headers) {
        return send(caller(method, path, body, headers));
    }

    HttpRequest caller(String method, String path, String body, String... headers) {
        Map<String, String> all =
                new java.util.LinkedHashMap<>(Map.of("Authorization", "Bearer tana-secret", "Organisation", "tana"));
        for (int i = 0; i < headers.length; i += 2) {
            all.put(headers[i], headers[i + 1]);
        }
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(request(ports.callers(), method, path, body), (name, value) -> true);
        all.forEach((name, value) -> {
            if (!value.isEmpty()) {
                builder.header(name, value);
            }
        });
        return builder.build();
    }

    private static HttpRequest request(int port, String method, String path, String body) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request whose response is read line by line. */
    HttpResponse<java.util.stream.Stream<String>> open(HttpRequest request) throws Exception {
        return client.send(request, HttpResponse.BodyHandlers.ofLines());
    }

    @Override
    public void close() {
        server.close();
        server.closeFuture().join();
        vertx.close().toCompletionStage().toCompletableFuture().join();
        client.shutdownNow();
    }
}
