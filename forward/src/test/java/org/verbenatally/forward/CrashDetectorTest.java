package org.verbenatally.forward;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;

class CrashDetectorTest {
    /** Number of crashes after which a request is sent to no more targets. */
    private static final int CRASHES = 3;

    private ForwardFixture fixture;
    private final AtomicInteger ids = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private int send(String body) {
        return sendLater(body).join();
    }

    private CompletableFuture<Integer> sendLater(String body) {
        return fixture.sendLater(fixture.request("/once/x", "r" + ids.incrementAndGet())
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build())
                .thenApply(HttpResponse::statusCode);
    }

    /** Returns a target that resets the connection on each request and, if so stated, stops listening first. */
    private static RawTarget failingTarget(AtomicInteger runs, boolean stopsListening) throws Exception {
        AtomicReference<RawTarget> self = new AtomicReference<>();
        self.set(new RawTarget((head, out, socket) -> {
            runs.incrementAndGet();
            if (stopsListening) {
                self.get().close();
            }
            RawTarget.reset(socket);
            return false;
        }));
        return self.get();
    }

    private int sendUntilRefused(String body, int maxSends) throws Exception {
        int sent = 0;
        while (sent < maxSends && send(body) != CallerExchange.UNAVAILABLE) {
            sent++;
            // The target is checked after the response.
            Thread.sleep(200);
        }
        return sent;
    }

    /** Guards against a request that crashes one target after the other because its caller retries it. */
    @Test
    void requestThatCrashesTargetsIsRefused() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        List<RawTarget> targets = new ArrayList<>();
        for (int i = 0; i < 2 * CRASHES; i++) {
            targets.add(failingTarget(runs, true));
            fixture.publish("t" + i, CALLS, targets.get(i));
        }
        sendUntilRefused("poison", 2 * CRASHES);
        assertThat(runs.get()).isBetween(1, CRASHES);
        assertThat(send("another body")).isNotEqualTo(CallerExchange.UNAVAILABLE);
        for (RawTarget target : targets) {
            target.close();
        }
    }

    /** Guards against refusing requests that many callers send, because they were running whenever a target died. */
    @Test
    void requestsRunningDuringCrashAreStillServed() throws Exception {
        AtomicReference<RawTarget> self = new AtomicReference<>();
        CountDownLatch allRunning = new CountDownLatch(CRASHES);
        self.set(new RawTarget((head, out, socket) -> {
            allRunning.countDown();
            allRunning.await();
            self.get().close();
            RawTarget.reset(socket);
            return false;
        }));
        fixture.publish("dying", CALLS, self.get());
        List<CompletableFuture<Integer>> responses = new ArrayList<>();
        for (int i = 0; i < CRASHES; i++) {
            responses.add(sendLater("popular"));
        }
        for (var response : responses) {
            assertThat(response.get(20, TimeUnit.SECONDS)).isEqualTo(CallerExchange.BAD_GATEWAY);
        }
        Thread.sleep(300);
        try (var healthy = new RawTarget((head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nContent-Length: 0\r\n\r\n");
            return true;
        })) {
            fixture.publish("healthy", CALLS, healthy);
            assertThat(sendUntilRefused("popular", 3)).isEqualTo(3);
        }
    }

    /** Guards against refusing a request because responses to it were lost while its target kept running. */
    @Test
    void lostResponsesAreNotCountedAsCrash() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (var target = failingTarget(runs, false)) {
            fixture.publish("a", CALLS, target);
            assertThat(sendUntilRefused("same", 2 * CRASHES)).isEqualTo(2 * CRASHES);
        }
    }
}
