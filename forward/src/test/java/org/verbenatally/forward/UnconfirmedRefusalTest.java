package org.verbenatally.forward;

import java.net.http.HttpResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that respond with the status of a refusal without stating that they have not run the request. */
class UnconfirmedRefusalTest {
    /** Longer than any response that is buffered. */
    private static final int LONG_BODY = 600_000;

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

    private static String response(int status, String framing, String id) {
        String head = "HTTP/1.1 " + status + " Busy\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\nRetry-After: 1\r\n";
        return switch (framing) {
            case "empty" -> head + "Content-Length: 0\r\n\r\n";
            case "chunked" -> head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n";
            case "unframed" -> head + "\r\nbusy";
            case "stalled" -> head + "Content-Length: 8\r\n\r\nbusy";
            default -> head + "Content-Length: " + LONG_BODY + "\r\n\r\n" + "x".repeat(LONG_BODY);
        };
    }

    private RawTarget target(int status, String framing) throws Exception {
        return new RawTarget((head, out, socket) -> {
            RawTarget.write(out, response(status, framing, RawTarget.header(head, TestCodec.ID)));
            return !framing.equals("unframed");
        });
    }

    /** Guards against a request that must not run twice being reported as not run after a target may have run it. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, 503, empty",
        "/once/x, 429, chunked",
        "/once/x, 408, unframed",
        "/once/x, 421, empty",
        "/once/x, 503, long",
        "/once/x, 503, stalled",
        "/stream/x, 503, empty",
        "/stream/x, 429, chunked",
        "/stream/x, 408, unframed",
        "/stream/x, 503, long",
        "/stream/x, 503, stalled"
    })
    void unconfirmedRefusalIsNotPassedOn(String path, int status, String framing) throws Exception {
        try (RawTarget target = target(status, framing)) {
            fixture.publish("a", CALLS, target);
            fixture.publish("b", ENGINES, target);
            HttpResponse<String> received = fixture.send(
                    fixture.request(path, "r1").header(TestCodec.TOKENS, "400").build());
            assertThat(received.statusCode()).isEqualTo(502);
            assertThat(received.body()).isEmpty();
            assertThat(received.headers().firstValue("Test-Signed")).isEmpty();
            assertThat(received.headers().firstValue("Retry-After")).isEmpty();
            assertThat(target.requests()).hasSize(1);
        }
    }

    /** Guards against withholding a target's response to a request that its caller may repeat anyway. */
    @Test
    void idempotentRequestGetsResponseOfTarget() throws Exception {
        try (RawTarget target = target(503, "chunked")) {
            fixture.publish("a", CALLS, target);
            HttpResponse<String> received =
                    fixture.send(fixture.request("/repeat/x", "r1").build());
            assertThat(received.statusCode()).isEqualTo(503);
            assertThat(received.body()).isEqualTo("busy");
        }
    }
}
