package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
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
import org.verbenatally.core.Address;

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

    /** Sends one event on its first connection, and then accepts no further one: connection attempts time out. */
    private void serveUnreachably(ServerSocket server, List<Socket> sockets) throws IOException {
        Socket socket = server.accept();
        sockets.add(socket);
        StringBuilder request = new StringBuilder();
        while (request.indexOf("\r\n\r\n") < 0) {
            request.append((char) socket.getInputStream().read());
        }
        EventStreams.writeHead(socket.getOutputStream(), request.toString());
        EventStreams.writeEvent(socket.getOutputStream(), 1);
        started.countDown();
        try {
            while (true) {
                Socket waiting = new Socket();
                sockets.add(waiting);
                waiting.connect(server.getLocalSocketAddress(), 200);
            }
        } catch (SocketTimeoutException e) {
            // The queue of the listener is full.
        }
    }

    /** Guards against two engines that work on one generation while the former one cannot be reached for a moment. */
    @Test
    void unansweredBackupDoesNotWorkBesideUnreachableEngine() throws Exception {
        List<Socket> sockets = new CopyOnWriteArrayList<>();
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var holder = losingResponses()) {
            Thread.ofVirtual().start(() -> {
                try {
                    serveUnreachably(server, sockets);
                } catch (IOException e) {
                    // The test has ended.
                }
            });
            fixture.publish("engine", ENGINES, new Address("127.0.0.1", server.getLocalPort()), 0);
            fixture.publish("holder", ENGINES, holder, 10_000);
            generateLater();
            long deadline =
                    System.nanoTime() + Duration.ofSeconds(BOUND_SECONDS).toNanos();
            while (unansweredWork.isEmpty() && System.nanoTime() < deadline) {
                Thread.sleep(10);
            }
            assertThat(unansweredWork)
                    .first()
                    .satisfies(work -> assertThat(work).isLessThan(MAX_OVERLAP));
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }
}
