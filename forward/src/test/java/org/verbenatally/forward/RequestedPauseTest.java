package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that turn a request away and state how long they want no others. */
class RequestedPauseTest {
    /** Sent at the same time, so that each target is chosen, however often one of them has failed. */
    private static final int CONCURRENT = 12;

    private static final int ROUNDS = 5;
    private static final Duration WORK = Duration.ofMillis(30);
    private static final Duration BOUND = Duration.ofSeconds(20);
    /** Longer than any test. */
    private static final long PAUSE_MS = 55_000;

    private final List<RawTarget> targets = new ArrayList<>();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        for (RawTarget target : targets) {
            target.close();
        }
    }

    private RawTarget publish(String name, RawTarget.Script script) throws IOException {
        RawTarget target = new RawTarget(script);
        targets.add(target);
        fixture.publish(name, CALLS, target);
        fixture.publish(name + "-engine", ENGINES, target);
        return target;
    }

    private RawTarget publishPausing(String name, String pause) throws IOException {
        return publish(name, (head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 503 Full\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Not-Run: yes\r\n" + TestCodec.PAUSE + ": " + pause
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        });
    }

    private void publishSound() throws IOException {
        publish("sound", (head, out, socket) -> {
            Thread.sleep(WORK);
            respond(out, RawTarget.header(head, TestCodec.ID));
            return true;
        });
    }

    private static void respond(OutputStream out, String id) throws IOException {
        RawTarget.write(
                out,
                "HTTP/1.1 200 OK\r\nTest-Id: " + id
                        + "\r\nTest-Signed: yes\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n");
    }

    private void sendConcurrently(String path) {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < CONCURRENT; i++) {
            responses.add(fixture.sendLater(
                    fixture.request(path, "r" + System.nanoTime() + i).build()));
        }
        responses.forEach(CompletableFuture::join);
    }

    /** Guards against requests to a target in the time for which it has asked for none. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/repeat/x", "/stream/x"})
    void pausedTargetGetsNoRequest(String path) throws Exception {
        publishSound();
        RawTarget paused = publishPausing("paused", Long.toString(PAUSE_MS));
        long deadline = System.nanoTime() + BOUND.toNanos();
        while (paused.requests().isEmpty() && System.nanoTime() < deadline) {
            sendConcurrently(path);
        }
        int requests = paused.requests().size();
        assertThat(requests).isPositive();
        for (int i = 0; i < ROUNDS; i++) {
            sendConcurrently(path);
        }
        assertThat(paused.requests()).hasSize(requests);
    }

    /** Guards against callers that are told to return while each target still wants no requests. */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void callerReturnsAfterPauseOfAllTargets(String path) throws Exception {
        RawTarget paused = publishPausing("paused", Long.toString(PAUSE_MS));
        fixture.send(fixture.request(path, "first").build());
        HttpResponse<String> response =
                fixture.send(fixture.request(path, "second").build());
        assertThat(paused.requests()).hasSize(1);
        assertThat(response.statusCode()).isEqualTo(503);
        String retryAfter = response.headers().firstValue("Retry-After").orElseThrow();
        assertThat(Double.parseDouble(retryAfter)).isBetween(PAUSE_MS / 1_000.0 - BOUND.toSeconds(), 70.0);
    }

    /** Guards against losing a target to a statement that cannot be read, and against overlooking such statements. */
    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1"})
    void malformedPauseIsCountedAndIgnored(String pause) throws Exception {
        RawTarget target = publishPausing("odd", pause);
        fixture.send(fixture.request("/once/x", "first").build());
        fixture.send(fixture.request("/once/x", "second").build());
        assertThat(target.requests()).hasSizeGreaterThan(1);
        assertThat(fixture.server.metrics().scrape()).contains("pause malformed");
    }

    /** Guards against a target that stays paused after its pause has ended. */
    @Test
    void targetGetsRequestsAfterItsPause() throws Exception {
        RawTarget target = publishPausing("short", "50");
        long deadline = System.nanoTime() + BOUND.toNanos();
        int sent = 0;
        while (target.requests().size() < 2 && System.nanoTime() < deadline) {
            fixture.send(fixture.request("/once/x", "r" + sent++).build());
        }
        assertThat(target.requests()).hasSizeGreaterThan(1);
    }
}
