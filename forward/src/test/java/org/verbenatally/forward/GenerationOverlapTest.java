package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Engines that do not respond when a generation is to go on there, while its former engine works on it. */
class GenerationOverlapTest {
    /** Two engines may work on one generation for so long. */
    private static final Duration MAX_OVERLAP = Duration.ofMillis(400);

    private static final Duration EVENT_INTERVAL = Duration.ofMillis(50);
    private static final int LAST_EVENT = 50;
    private static final long BOUND_SECONDS = 20;

    private final CountDownLatch started = new CountDownLatch(1);
    private final List<Duration> unansweredWork = new CopyOnWriteArrayList<>();
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

    /** Works on a generation to its end, and lets it be copied. */
    private boolean generate(String request, OutputStream out) throws IOException, InterruptedException {
        if (request.startsWith("POST /copy")) {
            RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ncopy-1");
            return true;
        }
        EventStreams.writeHead(out, request);
        for (int number = 1; number <= LAST_EVENT; number++) {
            EventStreams.writeEvent(out, number);
            started.countDown();
            Thread.sleep(EVENT_INTERVAL.toMillis());
        }
        EventStreams.writeEnd(out);
        return true;
    }

    /** Returns an engine that works on a generation until its connection closes, and whose response is lost. */
    private RawTarget losingResponses() throws IOException {
        return new RawTarget((request, out, socket) -> {
            long start = System.nanoTime();
            if (socket.getInputStream().read() < 0) {
                unansweredWork.add(Duration.ofNanos(System.nanoTime() - start));
            }
            return false;
        });
    }

    private CompletableFuture<HttpResponse<String>> generateLater() {
        return fixture.sendLater(fixture.request("/stream/x", "r1")
                .setHeader(TestCodec.CALLER_TIMEOUT, "10000")
                .header(TestCodec.TOKENS, "1000")
                .build());
    }

    private void expectCompleteWithoutLongOverlap(CompletableFuture<HttpResponse<String>> response) throws Exception {
        fixture.leave("leaving");
        assertThat(response.get(BOUND_SECONDS, TimeUnit.SECONDS).body()).isEqualTo(EventStreams.events(1, LAST_EVENT));
        assertThat(unansweredWork)
                .as("work of the other engine")
                .isNotEmpty()
                .allSatisfy(work -> assertThat(work).isLessThan(MAX_OVERLAP));
    }

    /** Guards against two engines that work on one generation while the response of the one with the backup is lost. */
    @Test
    void unansweredBackupDoesNotWorkBesideLeavingEngine() throws Exception {
        try (var leaving = new RawTarget((request, out, socket) -> generate(request, out));
                var holder = losingResponses()) {
            fixture.publish("leaving", ENGINES, leaving);
            fixture.publish("holder", ENGINES, holder, 10_000);
            CompletableFuture<HttpResponse<String>> response = generateLater();
            started.await();
            expectCompleteWithoutLongOverlap(response);
        }
    }

    /** Guards against two engines that work on one generation while the response of the one with the copy is lost. */
    @Test
    void unansweredCopyDoesNotWorkBesideLeavingEngine() throws Exception {
        try (var leaving = new RawTarget((request, out, socket) -> generate(request, out));
                var holder = losingResponses()) {
            fixture.publish("leaving", ENGINES, leaving);
            CompletableFuture<HttpResponse<String>> response = generateLater();
            started.await();
            fixture.publish("holder", ENGINES, holder);
            expectCompleteWithoutLongOverlap(response);
        }
    }
}
