package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Engines that go on with a run whose connection was closed, while another engine works on the generation. */
class RunStopTest {
    /** Two engines may work on one generation for so long. */
    private static final Duration MAX_OVERLAP = Duration.ofMillis(400);

    private static final Duration EVENT_INTERVAL = Duration.ofMillis(40);
    private static final int EVENT_COUNT = 50;
    private static final int BOUND_SECONDS = 20;
    private static final String STOP = "POST /stop";
    private static final String RELEASE = "DELETE /kept/kept-1 ";
    private static final String NOT_RUNNING = "404 Not Found";

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

    /** What an engine does with its connection while it works. */
    private enum Connection {
        /** Sends events on it. */
        SERVING,
        /** Sends nothing. */
        SILENT,
        /** Resets it after some events. */
        RESETTING
    }

    /** An engine that works on its run to the end or until it is ordered to stop, whether or not it is connected. */
    private static final class StubbornEngine {
        private static final int EVENTS_BEFORE_RESET = 10;

        private final Connection connection;
        /** Status of the response to the n-th order to stop, counted from 0. */
        private final IntFunction<String> stopStatus;

        private final AtomicInteger stopOrders = new AtomicInteger();
        private final CountDownLatch started = new CountDownLatch(1);
        private final CountDownLatch ended = new CountDownLatch(1);
        private volatile boolean stopped;
        private volatile long startNanos;
        private volatile long lastWorkNanos;

        StubbornEngine(Connection connection) {
            this(connection, order -> "200 OK");
        }

        StubbornEngine(Connection connection, IntFunction<String> stopStatus) {
            this.connection = connection;
            this.stopStatus = stopStatus;
        }

        private RawTarget listen() throws IOException {
            return new RawTarget(this::respond);
        }

        private boolean respond(String request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            if (request.startsWith(STOP)) {
                String status = stopStatus.apply(stopOrders.getAndIncrement());
                stopped |= status.startsWith("200");
                RawTarget.write(out, "HTTP/1.1 " + status + "\r\nContent-Length: 6\r\n\r\nkept-1");
                return true;
            }
            if (request.startsWith("DELETE ")) {
                RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            startNanos = System.nanoTime();
            try {
                work(request, out, socket);
            } finally {
                ended.countDown();
            }
            return false;
        }

        private void work(String request, OutputStream out, Socket socket) throws IOException, InterruptedException {
            boolean connected = connection != Connection.SILENT;
            if (connected) {
                writeHead(request, out);
            }
            for (int number = 1; number <= EVENT_COUNT && !stopped; number++) {
                connected = connected && tryWriteEvent(out, number);
                if (connection == Connection.RESETTING && number == EVENTS_BEFORE_RESET) {
                    RawTarget.reset(socket);
                }
                lastWorkNanos = System.nanoTime();
                started.countDown();
                Thread.sleep(EVENT_INTERVAL.toMillis());
            }
            if (connected) {
                RawTarget.write(out, "0\r\n\r\n");
            }
        }

        private static boolean tryWriteEvent(OutputStream out, int number) {
            try {
                writeEvent(out, number);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        /** Waits for the end of its run, and returns for how long it worked after the given time. */
        Duration workAfter(long nanos) throws InterruptedException {
            assertThat(ended.await(BOUND_SECONDS, TimeUnit.SECONDS)).isTrue();
            return Duration.ofNanos(lastWorkNanos - nanos);
        }
    }

    /** An engine that continues generations from a copy; one that drops runs whose connection closes. */
    private static final class SoundEngine {
        private volatile long acceptedNanos;

        private RawTarget listen() throws IOException {
            return new RawTarget((request, out, socket) -> {
                acceptedNanos = System.nanoTime();
                writeHead(request, out);
                String last = RawTarget.header(request, TestCodec.LAST_EVENT);
                for (int number = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; number <= EVENT_COUNT; number++) {
                    writeEvent(out, number);
                }
                RawTarget.write(out, "0\r\n\r\n");
                return true;
            });
        }
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: t" + number + "\n\n";
    }

    private static void writeEvent(OutputStream out, int number) throws IOException {
        String event = event(number);
        RawTarget.write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    private static void writeHead(String request, OutputStream out) throws IOException {
        String id = RawTarget.header(request, TestCodec.ID);
        RawTarget.write(
                out,
                "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    private static long count(RawTarget target, String start) {
        return target.requests().stream().filter(head -> head.startsWith(start)).count();
    }

    /** Starts a generation at the engine, whose backup the holder keeps. */
    private CompletableFuture<HttpResponse<String>> generate(RawTarget engine, RawTarget holder) {
        fixture.publish("engine", ENGINES, engine);
        fixture.publish("holder", ENGINES, holder, 10_000);
        return fixture.sendLater(fixture.request("/stream/x", "r1")
                .setHeader(TestCodec.CALLER_TIMEOUT, "10000")
                .header(TestCodec.TOKENS, "1000")
                .build());
    }

    private void expectComplete(CompletableFuture<HttpResponse<String>> response) throws Exception {
        StringBuilder expected = new StringBuilder();
        for (int number = 1; number <= EVENT_COUNT; number++) {
            expected.append(event(number));
        }
        assertThat(response.get(BOUND_SECONDS, TimeUnit.SECONDS).body()).isEqualTo(expected.toString());
    }

    private void awaitCount(RawTarget target, String start, long expected) throws InterruptedException {
        long deadline = System.nanoTime() + Duration.ofSeconds(BOUND_SECONDS).toNanos();
        while (count(target, start) < expected && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertThat(count(target, start)).as(start).isEqualTo(expected);
    }

    /** Guards against a leaving engine that works on beside the next one, although its connection was closed. */
    @Test
    void leavingEngineIsStopped() throws Exception {
        var engine = new StubbornEngine(Connection.SERVING);
        var holder = new SoundEngine();
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            CompletableFuture<HttpResponse<String>> response = generate(engineTarget, holderTarget);
            engine.started.await();
            fixture.leave("engine");
            expectComplete(response);
            assertThat(engine.workAfter(holder.acceptedNanos)).isLessThan(MAX_OVERLAP);
            awaitCount(engineTarget, RELEASE, 1);
        }
    }

    /** Guards against an engine that works on after it has reset the connection of its run. */
    @Test
    void engineThatResetsIsStopped() throws Exception {
        var engine = new StubbornEngine(Connection.RESETTING);
        var holder = new SoundEngine();
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            expectComplete(generate(engineTarget, holderTarget));
            assertThat(engine.workAfter(holder.acceptedNanos)).isLessThan(MAX_OVERLAP);
        }
    }

    /** Guards against an engine whose response is lost and that works on beside the leaving engine. */
    @Test
    void unansweredContinuationIsStopped() throws Exception {
        var engine = new StubbornEngine(Connection.SERVING);
        var holder = new StubbornEngine(Connection.SILENT);
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            CompletableFuture<HttpResponse<String>> response = generate(engineTarget, holderTarget);
            engine.started.await();
            fixture.leave("engine");
            assertThat(holder.started.await(BOUND_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(holder.workAfter(holder.startNanos)).isLessThan(MAX_OVERLAP);
            expectComplete(response);
        }
    }

    /** Guards against taking a run for ended although the engine has not followed the order to stop it. */
    @ParameterizedTest
    @ValueSource(strings = {"409 Conflict", "500 Error", "503 Busy"})
    void orderIsRepeatedUntilTheRunHasEnded(String status) throws Exception {
        var engine = new StubbornEngine(Connection.SERVING, order -> order < 2 ? status : "200 OK");
        var holder = new SoundEngine();
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            CompletableFuture<HttpResponse<String>> response = generate(engineTarget, holderTarget);
            engine.started.await();
            fixture.leave("engine");
            expectComplete(response);
            engine.workAfter(holder.acceptedNanos);
            awaitCount(engineTarget, STOP, 3);
            awaitCount(engineTarget, RELEASE, 1);
        }
    }

    /** Guards against orders to an engine that has said that it does not run the generation. */
    @Test
    void engineThatHasDroppedItsRunGetsOneOrder() throws Exception {
        var engine = new StubbornEngine(Connection.SERVING, order -> NOT_RUNNING);
        var holder = new SoundEngine();
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            CompletableFuture<HttpResponse<String>> response = generate(engineTarget, holderTarget);
            engine.started.await();
            fixture.leave("engine");
            expectComplete(response);
            awaitCount(engineTarget, STOP, 1);
            Thread.sleep(500);
            assertThat(count(engineTarget, STOP)).isEqualTo(1);
            assertThat(count(engineTarget, "DELETE ")).isZero();
        }
    }

    /** Guards against an order that ends a later run of the generation at the same engine. */
    @Test
    void generationDoesNotReturnToEngineWhileItsRunThereIsStopped() throws Exception {
        var engine = new StubbornEngine(Connection.SERVING);
        var holder = new StubbornEngine(Connection.SILENT, order -> "409 Conflict");
        try (var engineTarget = engine.listen();
                var holderTarget = holder.listen()) {
            CompletableFuture<HttpResponse<String>> response = generate(engineTarget, holderTarget);
            engine.started.await();
            fixture.leave("engine");
            expectComplete(response);
            assertThat(count(holderTarget, STOP)).isPositive();
            assertThat(count(holderTarget, "GET /stream") + count(holderTarget, "POST /stream"))
                    .isEqualTo(1);
        }
    }
}
