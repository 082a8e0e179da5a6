package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Engines whose runs are ended when their generation goes on at another engine, or is given up there. */
class RunStopTest {
    /** Two engines may work on one generation for so long. */
    private static final Duration MAX_OVERLAP = Duration.ofMillis(400);

    private static final Duration EVENT_INTERVAL = Duration.ofMillis(40);
    private static final int EVENT_COUNT = 50;
    private static final int BOUND_SECONDS = 20;
    /** How long an engine is avoided for new generations, but may keep copies. */
    private static final long COLD_MS = 10_000;

    private static final String STOP = "POST /stop";
    private static final String RELEASE = "DELETE /kept/kept-1 ";
    private static final String FOLLOWED = "200 OK";
    /** Instead of a status: the connection closes without a response, and the order is not followed. */
    private static final String LOST = "lost";
    /** Instead of a status: the order is followed, and never answered. */
    private static final String UNANSWERED = "unanswered";

    private final List<Engine> engines = new ArrayList<>();
    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture(Duration.ofSeconds(10));
        fixture.configure(1);
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        for (Engine engine : engines) {
            engine.target.close();
        }
    }

    /** What an engine does with the connection of its run. */
    private enum Behaviour {
        /** Sends events, and drops the run when the connection closes. */
        SOUND,
        /** Sends events, and works on when the connection closes. */
        STUBBORN,
        /** The same, after it has reset the connection itself. */
        RESETTING,
        /** Sends nothing, and drops the run when the connection closes. */
        MUTE,
        /** Sends nothing, and works on. */
        MUTE_STUBBORN,
        /** Refuses all requests. */
        REFUSING
    }

    /** The work on a generation at one engine. */
    private static final class Run {
        private final long startNanos = System.nanoTime();
        private volatile long lastWorkNanos = startNanos;

        /** Returns for how long both worked at the same time; negative if they did not. */
        Duration workBeside(Run other) {
            long end = Math.min(lastWorkNanos, other.lastWorkNanos);
            return Duration.ofNanos(end - Math.max(startNanos, other.startNanos));
        }
    }

    /** An engine that works on one run at a time, and follows orders. */
    private static final class Engine {
        private static final int EVENTS_BEFORE_RESET = 10;

        private final Behaviour behaviour;
        private final IntFunction<String> stopStatus;
        private final RawTarget target;
        private final AtomicInteger stopOrders = new AtomicInteger();
        private final CountDownLatch started = new CountDownLatch(1);
        private final CountDownLatch ended = new CountDownLatch(1);
        private final List<Run> runs = new CopyOnWriteArrayList<>();
        private volatile boolean stopped;

        Engine(Behaviour behaviour, IntFunction<String> stopStatus) throws IOException {
            this.behaviour = behaviour;
            this.stopStatus = stopStatus;
            this.target = new RawTarget(this::respond);
        }

        private boolean respond(String request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            if (request.startsWith(STOP)) {
                return followStop(out);
            }
            if (request.startsWith("POST /copy") || request.startsWith("DELETE ")) {
                RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ncopy-1");
                return true;
            }
            if (behaviour == Behaviour.REFUSING) {
                String id = RawTarget.header(request, TestCodec.ID);
                RawTarget.write(
                        out,
                        "HTTP/1.1 503 Full\r\nTest-Id: " + id + "\r\nTest-Not-Run: yes\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
            Run run = new Run();
            runs.add(run);
            try {
                work(run, request, out, socket);
            } finally {
                ended.countDown();
            }
            return false;
        }

        private boolean followStop(OutputStream out) throws IOException, InterruptedException {
            String status = stopStatus.apply(stopOrders.getAndIncrement());
            stopped |= status.equals(FOLLOWED) || status.equals(UNANSWERED);
            if (status.equals(UNANSWERED)) {
                Thread.sleep(100_000);
            }
            if (!status.equals(LOST)) {
                RawTarget.write(out, "HTTP/1.1 " + status + "\r\nContent-Length: 6\r\n\r\nkept-1");
            }
            return !status.equals(LOST);
        }

        private void work(Run run, String request, OutputStream out, Socket socket)
                throws IOException, InterruptedException {
            boolean drops = behaviour == Behaviour.SOUND || behaviour == Behaviour.MUTE;
            boolean mute = behaviour == Behaviour.MUTE || behaviour == Behaviour.MUTE_STUBBORN;
            boolean connected = true;
            if (!mute) {
                EventStreams.writeHead(out, request);
            }
            int first = EventStreams.firstEvent(request);
            for (int number = first; number <= EVENT_COUNT && !stopped && (connected || !drops); number++) {
                run.lastWorkNanos = System.nanoTime();
                connected = connected && (mute ? !isClosed(socket) : tryWriteEvent(out, number));
                started.countDown();
                if (behaviour == Behaviour.RESETTING && number == first + EVENTS_BEFORE_RESET) {
                    RawTarget.reset(socket);
                    connected = false;
                }
                Thread.sleep(EVENT_INTERVAL.toMillis());
            }
            if (connected && !mute) {
                EventStreams.writeEnd(out);
            }
        }

        private static boolean tryWriteEvent(OutputStream out, int number) {
            try {
                EventStreams.writeEvent(out, number);
                return true;
            } catch (IOException e) {
                return false;
            }
        }

        private static boolean isClosed(Socket socket) throws IOException {
            socket.setSoTimeout(1);
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketTimeoutException e) {
                return false;
            }
        }

        /** Waits for the end of its first run, and returns for how long both engines worked at the same time. */
        Duration longestWorkBeside(Engine other) throws InterruptedException {
            assertThat(ended.await(BOUND_SECONDS, TimeUnit.SECONDS)).isTrue();
            assertThat(other.runs).isNotEmpty();
            return runs.stream()
                    .flatMap(own -> other.runs.stream().map(own::workBeside))
                    .max(Comparator.naturalOrder())
                    .orElseThrow();
        }

        long count(String start) {
            return target.requests().stream()
                    .filter(head -> head.startsWith(start))
                    .count();
        }

        void awaitCount(String start, long expected) throws InterruptedException {
            long deadline =
                    System.nanoTime() + Duration.ofSeconds(BOUND_SECONDS).toNanos();
            while (count(start) < expected && System.nanoTime() < deadline) {
                Thread.sleep(10);
            }
            assertThat(count(start)).as(start).isEqualTo(expected);
        }
    }

    /** Publishes an engine that follows orders to stop by the given statuses, the last one from then on. */
    private Engine publish(String name, long coldMs, Behaviour behaviour, String... stopStatuses) throws IOException {
        Engine engine = new Engine(
                behaviour,
                order -> stopStatuses.length == 0 ? FOLLOWED : stopStatuses[Math.min(order, stopStatuses.length - 1)]);
        engines.add(engine);
        fixture.publish(name, ENGINES, engine.target, coldMs);
        return engine;
    }

    private CompletableFuture<HttpResponse<String>> generate() {
        return fixture.sendLater(fixture.request("/stream/x", "r1")
                .setHeader(TestCodec.CALLER_TIMEOUT, "10000")
                .header(TestCodec.TOKENS, "1000")
                .build());
    }

    private static void expectComplete(CompletableFuture<HttpResponse<String>> response) throws Exception {
        assertThat(response.get(BOUND_SECONDS, TimeUnit.SECONDS).body()).isEqualTo(EventStreams.events(1, EVENT_COUNT));
    }

    /** Starts a generation at the engine, has the engine leave and expects the whole response. */
    private void completeBesideDeparture(Engine engine) throws Exception {
        CompletableFuture<HttpResponse<String>> response = generate();
        engine.started.await();
        fixture.leave("engine");
        expectComplete(response);
    }

    /** Guards against an engine whose response is lost and that works on beside the leaving engine. */
    @Test
    void unansweredContinuationIsStopped() throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN);
        Engine holder = publish("holder", COLD_MS, Behaviour.MUTE_STUBBORN);
        completeBesideDeparture(engine);
        assertThat(holder.longestWorkBeside(engine)).isLessThan(MAX_OVERLAP);
    }

    /** Guards against an engine that works on beside the next one, although its connection was closed. */
    @ParameterizedTest
    @CsvSource({"SOUND, 404 Not Found, 0", "STUBBORN, 200 OK, 1"})
    void leavingEngineIsStopped(Behaviour behaviour, String stopStatus, int copiesKept) throws Exception {
        Engine engine = publish("engine", 0, behaviour, stopStatus);
        Engine holder = publish("holder", COLD_MS, Behaviour.SOUND);
        completeBesideDeparture(engine);
        assertThat(engine.longestWorkBeside(holder)).isLessThan(MAX_OVERLAP);
        engine.awaitCount(STOP, 1);
        engine.awaitCount(RELEASE, copiesKept);
        Thread.sleep(500);
        assertThat(engine.count(STOP)).as("orders after the response").isEqualTo(1);
        assertThat(engine.count("DELETE ")).as("copies freed").isEqualTo(copiesKept);
    }

    /** Guards against an engine that works on after it has reset the connection of its run. */
    @ParameterizedTest
    @EnumSource(names = {"SOUND", "MUTE"})
    void engineThatResetsIsStopped(Behaviour holderBehaviour) throws Exception {
        Engine engine = publish("engine", 0, Behaviour.RESETTING);
        Engine holder = publish("holder", COLD_MS, holderBehaviour);
        CompletableFuture<HttpResponse<String>> response = generate();
        assertThat(holder.started.await(BOUND_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(engine.longestWorkBeside(holder)).isLessThan(MAX_OVERLAP);
        if (holderBehaviour == Behaviour.SOUND) {
            expectComplete(response);
        }
    }

    /** Guards against engines that work on when a generation has to leave one after the other. */
    @Test
    void enginesThatLeaveInARowAreStopped() throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN);
        Engine second = publish("second", COLD_MS, Behaviour.STUBBORN);
        CompletableFuture<HttpResponse<String>> response = generate();
        engine.started.await();
        Engine third = publish("third", COLD_MS, Behaviour.SOUND);
        fixture.leave("engine");
        assertThat(second.started.await(BOUND_SECONDS, TimeUnit.SECONDS)).isTrue();
        fixture.leave("second");
        expectComplete(response);
        assertThat(engine.longestWorkBeside(second)).isLessThan(MAX_OVERLAP);
        assertThat(second.longestWorkBeside(third)).isLessThan(MAX_OVERLAP);
    }

    /** Guards against taking a run for ended although the engine has not followed the order to stop it. */
    @ParameterizedTest
    @ValueSource(strings = {"409 Conflict", "500 Error", "503 Busy", LOST})
    void orderIsRepeatedUntilTheRunHasEnded(String status) throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN, status, status, FOLLOWED);
        publish("holder", COLD_MS, Behaviour.SOUND);
        completeBesideDeparture(engine);
        engine.awaitCount(STOP, 3);
        engine.awaitCount(RELEASE, 1);
    }

    /** Guards against a caller that waits for the response of an engine that was left. */
    @Test
    void unansweredOrderDoesNotHoldUpTheCaller() throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN, UNANSWERED);
        Engine holder = publish("holder", COLD_MS, Behaviour.SOUND);
        completeBesideDeparture(engine);
        assertThat(engine.longestWorkBeside(holder)).isLessThan(MAX_OVERLAP);
        assertThat(engine.count(STOP))
                .as("orders until the end of the response")
                .isEqualTo(1);
    }

    /** Guards against ending the run of an engine that keeps its generation, or one that was refused. */
    @Test
    void refusedContinuationEndsNoRun() throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN);
        Engine holder = publish("holder", COLD_MS, Behaviour.REFUSING);
        completeBesideDeparture(engine);
        assertThat(engine.count(STOP) + holder.count(STOP)).isZero();
    }

    /** Guards against an order that ends a later run of the generation at the same engine. */
    @Test
    void generationDoesNotReturnToEngineWhileItsRunThereIsStopped() throws Exception {
        Engine engine = publish("engine", 0, Behaviour.STUBBORN);
        Engine holder = publish("holder", COLD_MS, Behaviour.MUTE_STUBBORN, "409 Conflict");
        completeBesideDeparture(engine);
        assertThat(holder.count(STOP)).isPositive();
        assertThat(holder.count("GET /stream")).isEqualTo(1);
    }
}
