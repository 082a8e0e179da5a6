package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays the ways in which requests end, in random order, up to the shutdown: all that was counted must be returned. */
class CountedResourcesTest {
    private static final List<String> GAUGES = List.of(
            "verbenatally_open_requests",
            "verbenatally_waiting",
            "verbenatally_body_bytes",
            "verbenatally_response_bytes",
            "verbenatally_target_requests",
            "verbenatally_target_copies");
    private static final Duration TIMEOUT = Duration.ofMillis(600);
    private static final int ROUNDS = 4;
    private static final int CALLERS_AT_A_TIME = 6;

    /** What targets do, by the last part of the path. */
    private static final List<String> CALLS = List.of("whole", "refused", "failing", "long", "cut", "torn", "silent");

    private static final List<String> STREAMS =
            List.of("events", "refused", "broken", "largeEvent", "slow", "silent", "failing");

    private final Set<String> reached = ConcurrentHashMap.newKeySet();

    /** One way in which a request ends. */
    @FunctionalInterface
    private interface Way {
        void play(ForwardFixture fixture, String id, Random random) throws Exception;
    }

    private static Map<String, Way> ways() {
        Map<String, Way> ways = new LinkedHashMap<>();
        CALLS.forEach(path -> {
            ways.put("once " + path, (f, id, r) -> send(f, "/once/" + path, id));
            ways.put("repeat " + path, (f, id, r) -> send(f, "/repeat/" + path, id));
        });
        STREAMS.forEach(path -> ways.put("stream " + path, (f, id, r) -> send(f, "/stream/" + path, id)));
        ways.put("no route", (f, id, r) -> send(f, "/none/x", id));
        ways.put("late body", (f, id, r) -> {
            try (var caller = new RawCaller(f.callers)) {
                caller.write(head(f, "once/whole", id, "Content-Length: 60000") + "x".repeat(r.nextInt(20_000)));
                assertThat(caller.read("\r\n\r\n")).startsWith("HTTP/1.1 503");
                caller.write("x".repeat(10_000 + r.nextInt(30_000)));
                caller.read("never");
            }
        });
        ways.put("caller leaves within body", (f, id, r) -> {
            try (var caller = new RawCaller(f.callers)) {
                caller.write(head(f, "once/whole", id, "Content-Length: 60000") + "x".repeat(r.nextInt(60_000)));
                Thread.sleep(r.nextInt(100));
            }
        });
        ways.put("body too long", (f, id, r) -> {
            try (var caller = new RawCaller(f.callers)) {
                caller.write(head(f, "once/whole", id, "Content-Length: 70000") + "x".repeat(70_000));
                assertThat(caller.read("\r\n\r\n")).startsWith("HTTP/1.1 413");
            }
        });
        ways.put("chunks broken off", (f, id, r) -> {
            try (var caller = new RawCaller(f.callers)) {
                caller.write(head(f, "once/whole", id, "Transfer-Encoding: chunked") + "7\r\nhalf of\r\nno length\r\n");
                caller.read("\r\n\r\n");
            }
        });
        for (String path : List.of("once/silent", "once/long", "repeat/failing", "stream/slow", "stream/largeEvent")) {
            ways.put("caller leaves " + path, (f, id, r) -> {
                try (var caller = new RawCaller(f.callers, Duration.ofMillis(1 + r.nextInt(300)))) {
                    caller.write(head(f, path, id, "Content-Length: 9000") + "x".repeat(9_000));
                    caller.read("\r\n\r\n");
                }
            });
        }
        return ways;
    }

    private static String head(ForwardFixture fixture, String path, String id, String framing) {
        return "POST /" + path + " HTTP/1.1\r\nHost: " + fixture.callers + "\r\nTest-Id: " + id
                + "\r\nTest-Patience: 300\r\nTest-Tokens: 1000\r\n" + framing + "\r\n\r\n";
    }

    private static void send(ForwardFixture fixture, String path, String id) throws InterruptedException {
        try {
            fixture.send(fixture.request(path, id)
                    .header(TestCodec.TOKENS, "1000")
                    .POST(java.net.http.HttpRequest.BodyPublishers.ofString("x".repeat(5_000)))
                    .build());
        } catch (IOException e) {
            // The instance breaks off a response that cannot be completed.
            assertThat(path).containsAnyOf("cut", "broken", "largeEvent", "slow", "stream");
        }
    }

    private boolean respond(String head, OutputStream out, Socket socket) throws IOException, InterruptedException {
        String path = head.split(" ")[1];
        String way = path.substring(path.lastIndexOf('/') + 1);
        reached.add(way);
        reached.add(RawTarget.header(head, TestCodec.ID));
        String id = "Test-Id: " + RawTarget.header(head, TestCodec.ID) + "\r\nTest-Signed: yes\r\n";
        String ok = "HTTP/1.1 200 OK\r\n" + id;
        switch (way) {
            case "copy" -> RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\ncopy-1");
            case "whole" -> RawTarget.write(out, ok + "Content-Length: 5\r\n\r\nhello");
            case "refused" ->
                RawTarget.write(out, "HTTP/1.1 503 x\r\n" + id + "Test-Not-Run: yes\r\nContent-Length: 0\r\n\r\n");
            case "failing" ->
                RawTarget.write(out, "HTTP/1.1 500 x\r\n" + id + "Content-Length: 70000\r\n\r\n" + "x".repeat(70_000));
            case "long" -> RawTarget.write(out, ok + "Content-Length: 900000\r\n\r\n" + "x".repeat(900_000));
            case "cut" -> RawTarget.write(out, ok + "Content-Length: 900000\r\n\r\n" + "x".repeat(500_000));
            case "torn" -> RawTarget.write(out, ok + "Content-Length: 50000\r\n\r\n" + "x".repeat(30_000));
            case "silent" -> Thread.sleep(TIMEOUT.multipliedBy(2));
            case "events", "broken", "slow", "largeEvent" -> {
                RawTarget.write(out, ok + "Transfer-Encoding: chunked\r\n\r\n");
                for (int i = 0; i < (way.equals("slow") ? 40 : 4); i++) {
                    writeChunk(out, "id: " + i + "\ndata: x\n\n");
                    Thread.sleep(20);
                }
                if (way.equals("largeEvent")) {
                    writeChunk(out, "data: " + "x".repeat(60_000));
                    Thread.sleep(50);
                } else if (!way.equals("broken")) {
                    RawTarget.write(out, "0\r\n\r\n");
                }
            }
            default -> throw new IllegalStateException(head);
        }
        if (Set.of("cut", "torn", "silent", "broken", "largeEvent").contains(way)) {
            RawTarget.reset(socket);
            return false;
        }
        return true;
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        RawTarget.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Guards against resources that are not returned on one of the ways out, or returned twice. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void everyWayOutReturnsWhatItTook(long seed) throws Exception {
        List<RawTarget> targets = new ArrayList<>();
        try (var fixture = new ForwardFixture(TIMEOUT);
                ExecutorService callers = Executors.newFixedThreadPool(
                        CALLERS_AT_A_TIME, Thread.ofVirtual().factory())) {
            fixture.configure(1);
            for (int i = 0; i < 4; i++) {
                targets.add(new RawTarget(this::respond));
                fixture.publish("call-" + i, ForwardFixture.CALLS, targets.getLast());
                targets.add(new RawTarget(this::respond));
                fixture.publish("engine-" + i, ForwardFixture.ENGINES, targets.getLast());
            }
            play(fixture, callers, seed);
            assertThat(reached).containsAll(CALLS).containsAll(STREAMS);
            assertAllReturned(fixture);

            List<Future<?>> open = new ArrayList<>();
            Set<String> ids = ConcurrentHashMap.newKeySet();
            for (int i = 0; i < 5; i++) {
                String id = "last-" + i;
                ids.add(id);
                open.add(callers.submit(() -> {
                    send(fixture, "/stream/slow", id);
                    return null;
                }));
            }
            for (int i = 0; i < 300 && !reached.containsAll(ids); i++) {
                Thread.sleep(10);
            }
            assertThat(reached).containsAll(ids);
            for (int i = 0; i < 3; i++) {
                fixture.leave("engine-" + i);
            }
            fixture.server.stop().get();
            for (Future<?> ended : open) {
                ended.get();
            }
            assertAllReturned(fixture);
        } finally {
            for (RawTarget target : targets) {
                target.close();
            }
        }
    }

    private static void play(ForwardFixture fixture, ExecutorService callers, long seed) throws Exception {
        Random random = new Random(seed);
        Map<String, Way> ways = ways();
        List<String> order = new ArrayList<>();
        for (int i = 0; i < ROUNDS; i++) {
            order.addAll(ways.keySet());
        }
        Collections.shuffle(order, random);
        Map<String, Future<?>> played = new LinkedHashMap<>();
        for (String name : order) {
            String id = "r" + played.size();
            Random own = new Random(random.nextLong());
            played.put(id + " " + name, callers.submit(() -> {
                ways.get(name).play(fixture, id, own);
                return null;
            }));
        }
        for (Map.Entry<String, Future<?>> way : played.entrySet()) {
            assertThat(way.getValue()).as(way.getKey()).succeedsWithin(Duration.ofMinutes(1));
        }
    }

    private static void assertAllReturned(ForwardFixture fixture) throws InterruptedException {
        for (String gauge : GAUGES) {
            assertThat(fixture.awaitGauge(gauge, 0)).as(gauge).isZero();
        }
    }
}
