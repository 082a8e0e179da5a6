package org.verbenatally.forward;

import java.net.http.HttpResponse;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that respond with a status outside of the range that HTTP defines for final responses. */
class UndefinedStatusTest {
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

    private static String response(String status, String framing, String id) {
        String head = "HTTP/1.1 " + status + " Trouble\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n";
        return switch (framing) {
            case "empty" -> head + "Content-Length: 0\r\n\r\n";
            case "chunked" -> head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
            case "unframed" -> head + "\r\nbody";
            default -> head + "Content-Length: 4\r\n\r\nbody";
        };
    }

    /** Guards against passing on as an answer what no caller can understand. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, 000, empty",
        "/once/x, 000, sized",
        "/once/x, 000, chunked",
        "/repeat/x, 000, unframed",
        "/repeat/x, 000, sized",
        "/stream/x, 000, chunked",
        "/stream/x, 000, unframed",
        "/once/x, 001, sized",
        "/once/x, 099, sized",
        "/once/x, 600, sized",
        "/once/x, 600, unframed",
        "/repeat/x, 600, chunked",
        "/stream/x, 600, sized",
        "/repeat/x, 999, empty",
        "/stream/x, 999, chunked",
        "/once/x, 2000, sized",
        "/once/x, -200, sized",
        "/stream/x, abc, sized"
    })
    void responseIsNotPassedOn(String path, String status, String framing) throws Exception {
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, response(status, framing, RawTarget.header(head, TestCodec.ID)));
            return !framing.equals("unframed");
        })) {
            fixture.publish("a", CALLS, target);
            fixture.publish("b", ENGINES, target);
            HttpResponse<String> received = fixture.send(
                    fixture.request(path, "r1").header(TestCodec.TOKENS, "400").build());
            assertThat(received.statusCode()).isIn(502, 504);
            assertThat(received.body()).isEmpty();
            assertThat(received.headers().firstValue("Test-Signed")).isEmpty();
        }
    }
}
