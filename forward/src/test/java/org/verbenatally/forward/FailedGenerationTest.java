package org.verbenatally.forward;

import java.io.IOException;
import java.net.http.HttpResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Engines that respond to the request of a generation with a failure, whose body is not an event stream. */
class FailedGenerationTest {
    private static final String EVENT = "id: 1\ndata: one\n\n";
    /** Longer than the event that an engine may send. */
    private static final int LONG_BODY = 3 << 20;

    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String head(int status, String id) {
        return "HTTP/1.1 " + status + " Odd\r\nTest-Id: " + id
                + "\r\nTest-Signed: yes\r\nTest-Stamp: s1\r\nTest-Hop: no\r\nConnection: test-hop";
    }

    private static String response(int status, String framing, String id, String body) {
        return switch (framing) {
            case "sized" -> head(status, id) + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            case "chunked" ->
                head(status, id) + "\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length())
                        + "\r\n" + body + "\r\n0\r\n\r\n";
            default -> head(status, id) + ", close\r\n\r\n" + body;
        };
    }

    private RawTarget target(int status, String framing, String body) throws IOException {
        return new RawTarget((head, out, socket) -> {
            RawTarget.write(out, response(status, framing, RawTarget.header(head, TestCodec.ID), body));
            return !framing.equals("unframed");
        });
    }

    private HttpResponse<String> generate() throws IOException, InterruptedException {
        return fixture.send(fixture.request("/stream/x", "r1")
                .header(TestCodec.TOKENS, "400")
                .build());
    }

    /** Guards against a failure reaching the caller as a head and a connection that breaks off. */
    @ParameterizedTest
    @CsvSource({
        "500, sized, out of order",
        "500, chunked, out of order",
        "500, unframed, out of order",
        "400, sized, ''",
        "400, chunked, no such model",
        "400, unframed, ''",
        "504, sized, LONG",
        "500, sized, EVENTS"
    })
    void failureArrivesWhole(int status, String framing, String content) throws Exception {
        String body =
                switch (content) {
                    case "LONG" -> "x".repeat(LONG_BODY);
                    case "EVENTS" -> EVENT + "data: cut";
                    default -> content;
                };
        try (RawTarget target = target(status, framing, body)) {
            fixture.publish("a", ENGINES, target);
            HttpResponse<String> received = generate();
            assertThat(received.statusCode()).isEqualTo(status);
            assertThat(received.body()).isEqualTo(body);
            assertThat(received.headers().firstValue("Test-Stamp")).contains("s1");
            assertThat(received.headers().firstValue("Test-Hop")).isEmpty();
            assertThat(target.requests()).hasSize(1);
        }
    }

    /** Guards against a failure that breaks off, also within a body of complete events, being taken for complete. */
    @ParameterizedTest
    @ValueSource(strings = {"sized", "chunked", "unframed"})
    void failureThatBreaksOffIsNotComplete(String framing) throws Exception {
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            String response = response(500, framing, RawTarget.header(head, TestCodec.ID), EVENT + EVENT);
            RawTarget.write(out, response.substring(0, response.lastIndexOf("id: ")));
            Thread.sleep(50);
            RawTarget.reset(socket);
            return false;
        })) {
            fixture.publish("a", ENGINES, target);
            assertThatThrownBy(this::generate).isInstanceOf(IOException.class);
            assertThat(target.requests()).hasSize(1);
        }
    }

    /** Guards against the body of a failure being followed by the events of another engine. */
    @Test
    void failureIsNotContinuedElsewhere() throws Exception {
        RawTarget.Script script = (head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            if (!RawTarget.header(head, TestCodec.COPY).isEmpty()) {
                RawTarget.write(out, response(200, "sized", id, EVENT));
                return true;
            }
            String response = response(500, "sized", id, EVENT + "rest");
            RawTarget.write(out, response.substring(0, response.length() - 4));
            Thread.sleep(1_000);
            RawTarget.write(out, "rest");
            return true;
        };
        try (RawTarget a = new RawTarget(script);
                RawTarget b = new RawTarget(script)) {
            fixture.publish("a", ENGINES, a);
            fixture.publish("b", ENGINES, b);
            HttpResponse<String> received = generate();
            assertThat(received.statusCode()).isEqualTo(500);
            assertThat(received.body()).isEqualTo(EVENT + "rest");
            assertThat(a.requests().size() + b.requests().size()).isEqualTo(1);
        }
    }

    /** Guards against a success that ends within an event being taken for complete. */
    @Test
    void successThatEndsWithinEventIsNotComplete() throws Exception {
        try (RawTarget target = target(200, "sized", EVENT + "data: cut")) {
            fixture.publish("a", ENGINES, target);
            assertThatThrownBy(this::generate).isInstanceOf(IOException.class);
        }
    }
}
