package org.verbenatally.forward;

import java.io.OutputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

class ForwardServerTest {
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String head(String request, String framing) {
        return "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(request, TestCodec.ID) + "\r\nTest-Signed: yes\r\n"
                + framing + "\r\n";
    }

    private static String fixedLength(String request, String body) {
        return head(request, "Content-Length: " + body.length() + "\r\n") + body;
    }

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        IntStream.rangeClosed(from, to)
                .forEach(i -> text.append("id: ")
                        .append(i)
                        .append("\ndata: t")
                        .append(i)
                        .append("\n\n"));
        return text.toString();
    }

    private static void chunk(OutputStream out, String text) throws java.io.IOException {
        RawTarget.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private HttpResponse<String> get(String path, String id) throws Exception {
        return fixture.send(fixture.request(path, id).build());
    }

    private HttpResponse<String> post(String path, String id) throws Exception {
        return fixture.send(fixture.request(path, id)
                .POST(HttpRequest.BodyPublishers.ofString("body of " + id))
                .build());
    }

    private HttpRequest generation(String id) {
        return fixture.request("/stream/x", id)
                .header(TestCodec.TOKENS, "400")
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
    }

    private CompletableFuture<HttpResponse<String>> generate(String id) {
        return fixture.sendLater(generation(id));
    }

    /** Guards against a request or a response that is changed while it is forwarded. */
    @Test
    void forwardsRequestAndResponseUnchanged() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, fixedLength(head, "answer"));
            return true;
        })) {
            fixture.configure(1, "secret");
            fixture.publish("a", CALLS, target);
            var response = fixture.send(fixture.request("/repeat/some%20path?q=1&r", "r1")
                    .header(TestCodec.KEY, "secret")
                    .build());
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("answer");
            String head = target.requests().getFirst();
            assertThat(head).startsWith("GET /repeat/some%20path?q=1&r HTTP/1.1\r\n");
            assertThat(RawTarget.header(head, TestCodec.ORGANISATION)).isEqualTo("org-secret");
            assertThat(RawTarget.header(head, TestCodec.TARGET)).isEqualTo("a");
            assertThat(RawTarget.header(head, TestCodec.KEY)).isEmpty();
        }
    }

    /** Guards against responding with 404 or 401, which callers take for final, before a configuration is known. */
    @Test
    void refusesUntilConfigured() throws Exception {
        assertThat(get("/repeat/x", "r1").statusCode()).isEqualTo(503);
        fixture.configure(1, "secret");
        assertThat(get("/repeat/x", "r2").statusCode()).isEqualTo(401);
        assertThat(get("/other/x", "r3").statusCode()).isEqualTo(404);
    }

    /** Guards against a key that is still accepted after a newer configuration dropped it. */
    @Test
    void dropsRevokedKeys() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, fixedLength(head, "answer"));
            return true;
        })) {
            fixture.configure(1, "old", "kept");
            fixture.publish("a", CALLS, target);
            fixture.configure(2, "kept");
            var request = fixture.request("/repeat/x", "r1").header(TestCodec.KEY, "old");
            assertThat(fixture.send(request.build()).statusCode()).isEqualTo(401);
        }
    }

    /** Guards against a deployment that serves everybody once its last key is gone. */
    @Test
    void withoutKeysNobodyIsServed() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, fixedLength(head, "answer"));
            return true;
        })) {
            fixture.configure(1, "last");
            fixture.publish("a", CALLS, target);
            fixture.publish("b", ENGINES, target);
            fixture.configureWithoutKeys(2);
            for (String path : List.of("/repeat/x", "/once/x", "/stream/x")) {
                for (String key : List.of("last", "never-known", "")) {
                    var request = fixture.request(path, "r1").header(TestCodec.KEY, key);
                    assertThat(fixture.send(request.build()).statusCode()).isEqualTo(401);
                }
                assertThat(get(path, "r2").statusCode()).isEqualTo(401);
            }
            assertThat(target.requests()).isEmpty();
        }
    }

    /** Guards against a response without a length that looks complete although its connection was reset. */
    @Test
    void resetResponseWithoutLengthIsIncomplete() throws Exception {
        AtomicInteger resets = new AtomicInteger();
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, head(head, "") + "half of the");
            Thread.sleep(resets.incrementAndGet() % 3 * 20);
            RawTarget.reset(socket);
            return false;
        })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            for (int i = 0; i < 60; i++) {
                assertThat(post("/once/x", "r" + i).statusCode()).isEqualTo(502);
            }
        }
    }

    /** Guards against taking a complete response for a broken one because it ends with its connection. */
    @Test
    void responseMayEndWithItsConnection() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, head(head, "") + "all of it");
            return false;
        })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            var response = post("/once/x", "r1");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo("all of it");
        }
    }

    /** Guards against an extra response that reaches the next request on its connection. */
    @Test
    void extraResponseIsDiscarded() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, fixedLength(head, "answer") + fixedLength(head, "extra"));
            return true;
        })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            for (int i = 0; i < 10; i++) {
                var response = get("/repeat/x", "r" + i);
                assertThat(response.statusCode() == 200 ? response.body() : "answer")
                        .isEqualTo("answer");
                assertThat(response.headers().firstValue(TestCodec.ID).orElse("r" + i))
                        .isEqualTo("r" + i);
            }
        }
    }

    /**
     * Guards against running a request a second time that must run at most once, and against stating that it has not
     * run.
     */
    @Test
    void lostResponseIsRetriedOnlyIfIdempotent() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        RawTarget.Script losingResponse = (head, out, socket) -> {
            runs.incrementAndGet();
            return false;
        };
        try (var one = new RawTarget(losingResponse);
                var other = new RawTarget(losingResponse)) {
            fixture.configure(1);
            fixture.publish("a", CALLS, one);
            fixture.publish("b", CALLS, other);
            assertThat(post("/once/x", "r1").statusCode()).isEqualTo(502);
            assertThat(runs).hasValue(1);
            runs.set(0);
            assertThat(get("/repeat/x", "r2").statusCode()).isEqualTo(502);
            assertThat(runs).hasValue(2);
        }
    }

    /** Guards against passing on the refusal of one target while another has a free slot. */
    @Test
    void refusedRequestIsSentToAnotherTarget() throws Exception {
        try (var full = new RawTarget((head, out, socket) -> {
                    RawTarget.write(
                            out,
                            "HTTP/1.1 503 Full\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                                    + "\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    return true;
                });
                var free = new RawTarget((head, out, socket) -> {
                    RawTarget.write(out, fixedLength(head, "answer"));
                    return true;
                })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, full);
            assertThat(post("/once/x", "r1").headers().firstValue("Retry-After"))
                    .isPresent();
            fixture.publish("b", CALLS, free);
            // Until the full target has refused a request on a connection that it has refused one on before.
            long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
            for (int i = 0; full.requests().size() < 3 && System.nanoTime() < deadline; i++) {
                assertThat(post("/once/x", "s" + i).statusCode()).isEqualTo(200);
            }
            assertThat(full.requests()).hasSizeGreaterThanOrEqualTo(3);
        }
    }

    /**
     * Guards against running out of memory by buffering long responses, and against a truncated response that looks
     * complete.
     */
    @Test
    void longResponseIsStreamed() throws Exception {
        String half = "x".repeat(400_000);
        java.util.concurrent.Semaphore beginningRead = new java.util.concurrent.Semaphore(0);
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, head(head, "Content-Length: 800000\r\n") + half);
            // A reset discards what has not been read yet, so the caller must have read the beginning before.
            beginningRead.acquire();
            if (head.contains("/cut")) {
                RawTarget.reset(socket);
                return false;
            }
            RawTarget.write(out, half);
            return true;
        })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            var response = fixture.open(fixture.request("/once/x", "r1").build());
            assertThat(response.body().readNBytes(300_000)).hasSize(300_000);
            beginningRead.release();
            assertThat(response.body().readAllBytes()).hasSize(500_000);
            var cut = fixture.open(fixture.request("/once/cut", "r2").build());
            assertThat(cut.body().readNBytes(300_000)).hasSize(300_000);
            beginningRead.release();
            assertThatThrownBy(() -> cut.body().readAllBytes()).isInstanceOf(java.io.IOException.class);
        }
    }

    /** Guards against heads and bodies that are longer than the configuration allows. */
    @Test
    void longRequestsAreRejected() throws Exception {
        fixture.configure(1);
        var head = fixture.request("/once/x", "r1").header("Long", "x".repeat(9_000));
        assertThat(fixture.send(head.build()).statusCode()).isEqualTo(431);
        var body = fixture.request("/once/x", "r2").POST(HttpRequest.BodyPublishers.ofString("x".repeat(70_000)));
        assertThat(fixture.send(body.build()).statusCode()).isEqualTo(413);
    }

    private static RawTarget copyHolder() throws Exception {
        return new RawTarget((head, out, socket) -> {
            if (RawTarget.header(head, TestCodec.COPY).isEmpty()) {
                RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
                chunk(out, events(1, 3));
                Thread.sleep(100_000);
            }
            int last = Integer.parseInt(RawTarget.header(head, TestCodec.LAST_EVENT));
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(last + 1, 10));
            RawTarget.write(out, "0\r\n\r\n");
            return true;
        });
    }

    /** Guards against events that are missing, duplicated or torn when an engine dies in the middle of one. */
    @Test
    void generationContinuesWhenItsEngineDies() throws Exception {
        RawTarget.Script dying = (head, out, socket) -> {
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(1, 4) + "id: 5\ndata: t");
            Thread.sleep(50);
            RawTarget.reset(socket);
            return false;
        };
        try (var engine = new RawTarget(dying);
                var copyHolder = copyHolder()) {
            fixture.configure(1);
            fixture.publish("dying", ENGINES, engine);
            fixture.publish("holder", ENGINES, copyHolder, 10_000);
            assertThat(generate("r1").join().body()).isEqualTo(events(1, 10));
        }
    }

    /** Guards against a stalled engine that keeps its generation by sending a byte now and then. */
    @Test
    void generationContinuesWhenItsEngineSendsNoCompleteEvent() throws Exception {
        RawTarget.Script stalled = (head, out, socket) -> {
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(1, 4) + "id: 5\ndata: ");
            while (!socket.isClosed()) {
                Thread.sleep(50);
                chunk(out, "x");
            }
            return false;
        };
        try (var engine = new RawTarget(stalled);
                var copyHolder = copyHolder()) {
            fixture.configure(1);
            fixture.publish("stalled", ENGINES, engine);
            fixture.publish("holder", ENGINES, copyHolder, 10_000);
            assertThat(generate("r1").join().body()).isEqualTo(events(1, 10));
        }
    }

    /** Guards against an interim response that a caller takes for the end of its request. */
    @Test
    void interimResponseIsNotPassedOn() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, "HTTP/1.1 102 Processing\r\n\r\n");
            Thread.sleep(200);
            RawTarget.write(out, fixedLength(head, "whole"));
            return true;
        })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            int status = fixture.sendLater(fixture.request("/once/x", "r1").build())
                    .get(20, java.util.concurrent.TimeUnit.SECONDS)
                    .statusCode();
            assertThat(status).isEqualTo(502);
        }
    }

    /** Guards against a generation that is cut off because its engine leaves. */
    @Test
    void generationMigratesWhenItsEngineLeaves() throws Exception {
        CompletableFuture<Void> started = new CompletableFuture<>();
        RawTarget.Script endless = (head, out, socket) -> {
            if (head.startsWith("POST /copy")) {
                RawTarget.write(out, fixedLength(head, "copy-1"));
                return true;
            }
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(1, 4));
            started.complete(null);
            Thread.sleep(100_000);
            return false;
        };
        try (var engine = new RawTarget(endless);
                var copyHolder = copyHolder()) {
            fixture.configure(1);
            fixture.publish("leaving", ENGINES, engine);
            CompletableFuture<HttpResponse<String>> response = generate("r1");
            started.get(10, java.util.concurrent.TimeUnit.SECONDS);
            fixture.publish("holder", ENGINES, copyHolder);
            fixture.leave("leaving");
            assertThat(response.get(10, java.util.concurrent.TimeUnit.SECONDS).body())
                    .isEqualTo(events(1, 10));
            awaitNoLoad();
        }
    }

    /** Guards against asking again and again for a copy of a generation that the engine says it does not run. */
    @Test
    void copyIsAskedForOnceUntilTheEngineGoesOn() throws Exception {
        CompletableFuture<Void> goesOn = new CompletableFuture<>();
        java.util.concurrent.atomic.AtomicInteger copies = new java.util.concurrent.atomic.AtomicInteger();
        RawTarget.Script restarted = (head, out, socket) -> {
            if (head.startsWith("POST /copy")) {
                copies.incrementAndGet();
                String status = goesOn.isDone() ? "200 OK" : "404 Gone";
                RawTarget.write(out, "HTTP/1.1 " + status + "\r\nContent-Length: 6\r\n\r\ncopy-1");
                return true;
            }
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(1, 3));
            goesOn.join();
            chunk(out, events(4, 4));
            Thread.sleep(100_000);
            return false;
        };
        try (var engine = new RawTarget(restarted);
                var copyHolder = copyHolder()) {
            fixture.configure(1);
            fixture.publish("leaving", ENGINES, engine);
            HttpResponse<java.io.InputStream> response = fixture.open(generation("r1"));
            // A copy that is asked for before these events have arrived is asked for again after them.
            assertThat(new String(response.body().readNBytes(events(1, 3).length())))
                    .isEqualTo(events(1, 3));
            fixture.publish("holder", ENGINES, copyHolder);
            fixture.leave("leaving");
            Thread.sleep(1_000);
            assertThat(copies).hasValue(1);
            goesOn.complete(null);
            assertThat(new String(response.body().readAllBytes())).isEqualTo(events(4, 10));
            assertThat(copies).hasValue(2);
        }
    }

    /** Guards against copies that wait for each other while some of them are of generations that are about to end. */
    @Test
    void generationAboutToEndIsNotCopied() throws Exception {
        CompletableFuture<Void> started = new CompletableFuture<>();
        CompletableFuture<Void> leavingPublished = new CompletableFuture<>();
        RawTarget.Script ending = (head, out, socket) -> {
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            // The caller asks for 400 tokens at most, so 200 are expected.
            chunk(out, events(1, 150));
            started.complete(null);
            leavingPublished.join();
            Thread.sleep(300);
            chunk(out, events(151, 160));
            RawTarget.write(out, "0\r\n\r\n");
            return true;
        };
        try (var engine = new RawTarget(ending);
                var other = copyHolder()) {
            fixture.configure(1);
            fixture.publish("leaving", ENGINES, engine);
            CompletableFuture<HttpResponse<String>> response = generate("r1");
            started.get(20, java.util.concurrent.TimeUnit.SECONDS);
            fixture.publish("other", ENGINES, other);
            awaitTokens(100 + 150);
            fixture.leave("leaving");
            leavingPublished.complete(null);
            assertThat(response.get(20, java.util.concurrent.TimeUnit.SECONDS).body())
                    .isEqualTo(events(1, 160));
            assertThat(engine.requests()).noneMatch(head -> head.startsWith("POST /copy"));
        }
    }

    /**
     * Guards against a copy whose reservation stays, and makes its engine look full, because the generation ended
     * first.
     */
    @Test
    void unusedCopyReservationIsReleased() throws Exception {
        CompletableFuture<Void> copying = new CompletableFuture<>();
        CompletableFuture<Void> ended = new CompletableFuture<>();
        RawTarget.Script ending = (head, out, socket) -> {
            if (head.startsWith("POST /copy")) {
                copying.complete(null);
                ended.join();
                RawTarget.write(out, fixedLength(head, "copy-1"));
                return true;
            }
            RawTarget.write(out, head(head, "Transfer-Encoding: chunked\r\n"));
            chunk(out, events(1, 4));
            copying.join();
            RawTarget.write(out, "0\r\n\r\n");
            return true;
        };
        try (var engine = new RawTarget(ending);
                var other = copyHolder()) {
            fixture.configure(1);
            fixture.publish("leaving", ENGINES, engine);
            CompletableFuture<HttpResponse<String>> response = generate("r1");
            while (engine.requests().isEmpty()) {
                Thread.sleep(5);
            }
            fixture.publish("other", ENGINES, other);
            fixture.leave("leaving");
            assertThat(response.get(20, java.util.concurrent.TimeUnit.SECONDS).body())
                    .isEqualTo(events(1, 4));
            ended.complete(null);
            awaitNoLoad();
        }
    }

    /** Waits until the load of the only generation, its prompt included, has reached the given number of tokens. */
    private void awaitTokens(long tokens) throws InterruptedException {
        long deadline = System.nanoTime() + java.time.Duration.ofSeconds(10).toNanos();
        while (fixture.server.directory().ownLoads().getFirst().getTokens() < tokens && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
        assertThat(fixture.server.directory().ownLoads().getFirst().getTokens()).isGreaterThanOrEqualTo(tokens);
    }

    private void awaitNoLoad() throws InterruptedException {
        long deadline = System.nanoTime() + java.time.Duration.ofSeconds(10).toNanos();
        while (!fixture.server.directory().ownLoads().isEmpty() && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertThat(fixture.server.directory().ownLoads()).isEmpty();
    }
}
