package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that announce their departure in their responses while the published list says that they are ready. */
class DepartingTargetTest {
    /** Enough for each of two targets to be chosen. */
    private static final int REQUESTS = 40;

    private static final Duration EVENT_INTERVAL = Duration.ofMillis(20);
    private static final Duration BOUND = Duration.ofSeconds(20);

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

    private void publishSound() throws IOException {
        publish("sound", (head, out, socket) -> {
            respond(out, "success", RawTarget.header(head, TestCodec.ID), "");
            return true;
        });
    }

    private static void respond(OutputStream out, String kind, String id, String headers) throws IOException {
        String identified = "Test-Id: " + id + "\r\n" + headers;
        String event = "id: 1\ndata: x\n\n";
        RawTarget.write(
                out,
                switch (kind) {
                    case "refusal" ->
                        "HTTP/1.1 503 Full\r\n" + identified + "Test-Not-Run: yes\r\nContent-Length: 0\r\n\r\n";
                    case "failure" ->
                        "HTTP/1.1 500 Failed\r\n" + identified + "Test-Signed: yes\r\nContent-Length: 0\r\n\r\n";
                    case "unframed" -> "HTTP/1.1 200 OK\r\n" + identified + "Test-Signed: yes\r\n\r\n" + event;
                    default ->
                        "HTTP/1.1 200 OK\r\n" + identified + "Test-Signed: yes\r\nContent-Length: " + event.length()
                                + "\r\n\r\n" + event;
                });
    }

    private void sendAll(String path) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            try {
                fixture.send(fixture.request(path, "r" + i).build());
            } catch (IOException e) {
                // A caller whose stream failed; only what the targets get matters here.
            }
        }
    }

    /** Guards against requests to a target after a response in which it announced its departure, of whatever kind. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, success",
        "/repeat/x, refusal",
        "/once/x, failure",
        "/once/x, unframed",
        "/stream/x, success",
        "/stream/x, refusal",
        "/stream/x, unframed"
    })
    void departingTargetGetsNoFurtherRequest(String path, String kind) throws Exception {
        publishSound();
        RawTarget departing = publish("departing", (head, out, socket) -> {
            respond(out, kind, RawTarget.header(head, TestCodec.ID), "Test-Leaving: yes\r\n");
            return !kind.equals("unframed");
        });
        long deadline = System.nanoTime() + BOUND.toNanos();
        do {
            sendAll(path);
        } while (departing.requests().isEmpty() && System.nanoTime() < deadline);
        sendAll(path);
        // An order to stop a generation that has left the target is no further work for it.
        assertThat(departing.requests())
                .filteredOn(head -> !(path.startsWith("/stream") && head.startsWith("POST /stop")))
                .hasSize(1);
    }

    /** Guards against a generation that stays at an engine whose departure only another response has announced. */
    @Test
    void generationMovesWhenItsEngineAnnouncesDeparture() throws Exception {
        RawTarget leaving = new RawTarget((head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            if (id.equals("other")) {
                respond(out, "refusal", id, "Test-Leaving: yes\r\n");
                return true;
            }
            RawTarget.write(out, "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n\r\n");
            for (int event = 1; !socket.isClosed(); event++) {
                RawTarget.write(out, "id: " + event + "\ndata: a\n\n");
                Thread.sleep(EVENT_INTERVAL);
            }
            return false;
        });
        RawTarget next = new RawTarget((head, out, socket) -> {
            respond(out, "success", RawTarget.header(head, TestCodec.ID), "");
            return true;
        });
        targets.addAll(List.of(leaving, next));
        fixture.publish("a", ENGINES, leaving);
        // Avoided for new generations, but it may keep the copy of one.
        fixture.publish("b", ENGINES, next, 100_000);
        var generation = fixture.sendLater(fixture.request("/stream/x", "g")
                .header(TestCodec.TOKENS, "400")
                .build());
        while (leaving.requests().isEmpty()) {
            Thread.sleep(EVENT_INTERVAL);
        }
        fixture.sendLater(fixture.request("/stream/x", "other").build());
        String events = generation.get(BOUND.toSeconds(), TimeUnit.SECONDS).body();
        assertThat(events).startsWith("id: 1\ndata: a\n\n").endsWith("data: x\n\n");
    }

    /** Guards against losing a target to a statement that cannot be read, and against overlooking such statements. */
    @ParameterizedTest
    @ValueSource(strings = {"Test-Leaving: ", "Test-Leaving: 7"})
    void malformedAnnouncementIsCountedAndIgnored(String header) throws Exception {
        publishSound();
        RawTarget target = publish("odd", (head, out, socket) -> {
            respond(out, "success", RawTarget.header(head, TestCodec.ID), header + "\r\n");
            return true;
        });
        // A target whose first call took long gets fewer calls for about a second, but is not lost.
        long deadline = System.nanoTime() + BOUND.toNanos();
        do {
            sendAll("/once/x");
        } while (target.requests().size() < 2 && System.nanoTime() < deadline);
        assertThat(target.requests()).hasSizeGreaterThan(1);
        assertThat(fixture.server.metrics().scrape()).contains("departure malformed");
    }

    /** Guards against losing a target to a late copy of a response that belongs to another request. */
    @Test
    void announcementOfAnotherRequestIsIgnored() throws Exception {
        publishSound();
        RawTarget target = publish("copies", (head, out, socket) -> {
            respond(out, "success", "another", "Test-Leaving: yes\r\n");
            return true;
        });
        long deadline = System.nanoTime() + BOUND.toNanos();
        do {
            sendAll("/once/x");
        } while (target.requests().isEmpty() && System.nanoTime() < deadline);
        assertThat(target.requests()).isNotEmpty();
        assertThat(fixture.server.directory().candidates(CALLS)).hasSize(2);
    }
}
