package org.verbenatally.forward;

import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Sound targets that send nothing for a while, and dead ones whose connections stay open. */
class SilentTargetTest {
    private static final int OK = 200;
    /** Longer than five event gap objectives of the fixture's route. */
    private static final Duration PAUSE = Duration.ofMillis(1_300);

    /** Longer than any pause of a sound engine. */
    private static final Duration LONG_PAUSE = Duration.ofMillis(3_500);

    private static final int LAST_EVENT = 6;

    private final AtomicInteger continuations = new AtomicInteger();
    private final AtomicInteger sends = new AtomicInteger();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture(Duration.ofSeconds(10));
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String head(String request, String more) {
        String id = RawTarget.header(request, TestCodec.ID);
        return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n" + more + "\r\n";
    }

    /** Returns an engine that pauses before its third event, and completes every generation. */
    private static RawTarget.Script pausing(Duration pause) {
        return (request, out, socket) -> {
            EventStreams.writeHead(out, request);
            for (int number = 1; number <= LAST_EVENT; number++) {
                Thread.sleep(number == 3 ? pause.toMillis() : 0);
                EventStreams.writeEvent(out, number);
            }
            EventStreams.writeEnd(out);
            return true;
        };
    }

    /** Returns an engine that has no copy of any generation. */
    private RawTarget.Script refusing() {
        return (request, out, socket) -> {
            continuations.incrementAndGet();
            String id = RawTarget.header(request, TestCodec.ID);
            RawTarget.write(
                    out, "HTTP/1.1 503 Full\r\nTest-Id: " + id + "\r\nTest-Not-Run: yes\r\nContent-Length: 0\r\n\r\n");
            return true;
        };
    }

    private HttpRequest request(String id) {
        return fixture.request("/stream/x", id)
                .setHeader(TestCodec.CALLER_TIMEOUT, "10000")
                .header(TestCodec.TOKENS, "1000")
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
    }

    private HttpResponse<String> generate(String id) throws Exception {
        return fixture.sendLater(request(id)).get(20, TimeUnit.SECONDS);
    }

    private void expectComplete(RawTarget.Script engineScript, RawTarget.Script holderScript) throws Exception {
        try (var engine = new RawTarget(engineScript);
                var holder = new RawTarget(holderScript)) {
            fixture.publish("engine", ENGINES, engine);
            fixture.publish("holder", ENGINES, holder, 10_000);
            HttpResponse<String> response = generate("r1");
            assertThat(response.statusCode()).isEqualTo(OK);
            assertThat(response.body()).isEqualTo(EventStreams.events(1, LAST_EVENT));
        }
    }

    /** Guards against cutting off a generation whose engine was silent for long and whose backup was refused. */
    @Test
    void silentEngineKeepsGenerationThatBackupRefuses() throws Exception {
        expectComplete(pausing(LONG_PAUSE), refusing());
        assertThat(continuations).as("sends to the engine with the backup").hasValue(1);
    }

    /** Guards against taking a generation from a sound engine that is silent for a second. */
    @Test
    void generationStaysAtEngineThatIsSilentForASecond() throws Exception {
        expectComplete(pausing(PAUSE), refusing());
        assertThat(continuations).as("sends to the engine with the backup").hasValue(0);
    }

    /** Guards against cutting off a generation because two engines in a row were silent for long. */
    @Test
    void secondSilenceDoesNotEndGeneration() throws Exception {
        RawTarget.Script pausingOnce = (request, out, socket) -> {
            if (request.startsWith("POST /stop")) {
                RawTarget.write(out, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            boolean pauses = sends.incrementAndGet() <= 2;
            int first = EventStreams.firstEvent(request);
            EventStreams.writeHead(out, request);
            for (int number = first; number <= LAST_EVENT; number++) {
                Thread.sleep(pauses && number == first + 1 ? LONG_PAUSE.toMillis() : 0);
                EventStreams.writeEvent(out, number);
            }
            EventStreams.writeEnd(out);
            return true;
        };
        try (var third = new RawTarget(pausingOnce)) {
            fixture.publish("third", ENGINES, third, 20_000);
            expectComplete(pausingOnce, pausingOnce);
            assertThat(sends).hasValue(3);
        }
    }

    /** Guards against two engines that work on one generation, and against waiting for the slower one. */
    @Test
    void engineThatGoesOnKeepsGenerationFromSlowBackup() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        RawTarget.Script slow = (request, out, socket) -> {
            if (socket.getInputStream().read() < 0) {
                cancelled.complete(null);
            }
            return false;
        };
        expectComplete(pausing(LONG_PAUSE), slow);
        cancelled.get(2, TimeUnit.SECONDS);
    }

    /** Guards against cutting off a generation whose backup could not be reached at the first attempt. */
    @Test
    void backupIsTriedAgainWhenTheEngineDies() throws Exception {
        RawTarget.Script dying = (request, out, socket) -> {
            EventStreams.writeHead(out, request);
            EventStreams.writeEvent(out, 1);
            Thread.sleep(LONG_PAUSE.toMillis());
            RawTarget.reset(socket);
            return false;
        };
        RawTarget.Script silentAtFirst = (request, out, socket) -> {
            if (sends.incrementAndGet() == 1) {
                Thread.sleep(100_000);
            }
            EventStreams.writeHead(out, request);
            for (int number = 2; number <= LAST_EVENT; number++) {
                EventStreams.writeEvent(out, number);
            }
            EventStreams.writeEnd(out);
            return true;
        };
        expectComplete(dying, silentAtFirst);
    }

    /** Guards against a generation that stays at a dead engine whose open connections were not reset. */
    @Test
    void generationLeavesSilentEngineThatNoLongerListens() throws Exception {
        RawTarget[] dead = new RawTarget[1];
        RawTarget.Script dying = (request, out, socket) -> {
            EventStreams.writeHead(out, request);
            EventStreams.writeEvent(out, 1);
            dead[0].close();
            Thread.sleep(100_000);
            return false;
        };
        try (var holder = new RawTarget((request, out, socket) -> {
            EventStreams.writeHead(out, request);
            for (int number = 2; number <= LAST_EVENT; number++) {
                EventStreams.writeEvent(out, number);
            }
            EventStreams.writeEnd(out);
            return true;
        })) {
            dead[0] = new RawTarget(dying);
            fixture.publish("engine", ENGINES, dead[0]);
            fixture.publish("holder", ENGINES, holder, 10_000);
            assertThat(generate("r1").body()).isEqualTo(EventStreams.events(1, LAST_EVENT));
        }
    }

    /** Guards against work that goes on for a caller who left after the backup had been refused. */
    @Test
    void callerThatLeavesEndsWorkAtSilentEngine() throws Exception {
        CompletableFuture<Void> refused = new CompletableFuture<>();
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        RawTarget.Script silent = (request, out, socket) -> {
            EventStreams.writeHead(out, request);
            EventStreams.writeEvent(out, 1);
            if (socket.getInputStream().read() < 0) {
                cancelled.complete(null);
            }
            return false;
        };
        RawTarget.Script refusing = (request, out, socket) -> {
            boolean kept = refusing().respond(request, out, socket);
            refused.complete(null);
            return kept;
        };
        try (var engine = new RawTarget(silent);
                var holder = new RawTarget(refusing)) {
            fixture.publish("engine", ENGINES, engine);
            fixture.publish("holder", ENGINES, holder, 10_000);
            HttpResponse<InputStream> response = fixture.open(request("r1"));
            refused.get(10, TimeUnit.SECONDS);
            // The refusal is handled before the caller leaves.
            Thread.sleep(200);
            response.body().close();
            cancelled.get(2, TimeUnit.SECONDS);
        }
    }

    /** Guards against giving up on a silent target though there is no other one to try. */
    @Test
    void repeatableCallWaitsForTheOnlyTarget() throws Exception {
        try (var target = new RawTarget((request, out, socket) -> {
            Thread.sleep(PAUSE.toMillis());
            RawTarget.write(out, head(request, "Content-Length: 4\r\n") + "body");
            return true;
        })) {
            fixture.publish("target", CALLS, target);
            HttpResponse<String> response =
                    fixture.send(fixture.request("/repeat/x", "r1").build());
            assertThat(response.statusCode()).isEqualTo(OK);
            assertThat(target.requests()).hasSize(1);
        }
    }

    /** Guards against giving up on a silent target for the sake of a retry that is not allowed. */
    @Test
    void repeatableCallsWaitForSilentTargetsBeyondTheRetryAllowance() throws Exception {
        RawTarget.Script silent = (request, out, socket) -> {
            Thread.sleep(PAUSE.toMillis());
            RawTarget.write(out, head(request, "Content-Length: 4\r\n") + "body");
            return true;
        };
        try (var first = new RawTarget(silent);
                var second = new RawTarget(silent)) {
            fixture.publish("first", CALLS, first);
            fixture.publish("second", CALLS, second);
            List<CompletableFuture<HttpResponse<String>>> responses = IntStream.range(0, 90)
                    .mapToObj(i -> fixture.sendLater(fixture.request("/repeat/x", "r" + i)
                            .setHeader(TestCodec.CALLER_TIMEOUT, "10000")
                            .build()))
                    .toList();
            assertThat(responses.stream().map(r -> r.join().statusCode())).containsOnly(OK);
        }
    }
}
