package org.verbenatally.forward;

import java.net.http.HttpResponse;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;

class IdleConnectionsTest {
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

    private ForwardFixture fixture;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture(IDLE_TIMEOUT.multipliedBy(10), IDLE_TIMEOUT, new TestCodec(), new BodyMemory());
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    /** Guards against closing the connection of a caller who waits for a response for longer than the idle timeout. */
    @Test
    void connectionWithOpenRequestIsKept() throws Exception {
        Duration work = IDLE_TIMEOUT.multipliedBy(2);
        try (var target = new RawTarget((head, out, socket) -> {
            Thread.sleep(work.toMillis());
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nContent-Length: 4\r\n\r\nbody");
            return true;
        })) {
            fixture.publish("a", CALLS, target);
            HttpResponse<String> response = fixture.send(fixture.request("/once/x", "r1")
                    .setHeader(TestCodec.CALLER_TIMEOUT, Long.toString(work.toMillis() * 2))
                    .build());
            assertThat(response.body()).isEqualTo("body");
        }
    }

    /** Guards against connections that callers leave open for good, and against closing one that is in use. */
    @Test
    void onlyIdleConnectionIsClosed() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> {
                    RawTarget.write(
                            out,
                            "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                                    + "\r\nTest-Signed: yes\r\nContent-Length: 4\r\n\r\nbody");
                    return true;
                });
                var used = new RawCaller(fixture.callers, IDLE_TIMEOUT.multipliedBy(5));
                var silent = new RawCaller(fixture.callers, IDLE_TIMEOUT.multipliedBy(5))) {
            fixture.publish("a", CALLS, target);
            for (int i = 0; i < 8; i++) {
                Thread.sleep(IDLE_TIMEOUT.toMillis() / 5);
                used.write("GET /once/x HTTP/1.1\r\nHost: " + fixture.callers.host() + "\r\n" + TestCodec.ID + ": r" + i
                        + "\r\n\r\n");
                assertThat(used.read("body")).startsWith("HTTP/1.1 200");
            }
            assertThat(silent.read("(never)")).isEmpty();
            assertThat(used.read("(never)")).isEmpty();
        }
    }

    /** Guards against a caller that holds a connection and memory by never sending the rest of a body. */
    @Test
    void requestWhoseBodyStopsIsRefused() throws Exception {
        try (var target = new RawTarget((head, out, socket) -> false);
                var caller = new RawCaller(fixture.callers, IDLE_TIMEOUT.multipliedBy(5))) {
            fixture.publish("a", CALLS, target);
            caller.write("POST /once/x HTTP/1.1\r\nHost: " + fixture.callers.host() + "\r\n" + TestCodec.ID + ": r1\r\n"
                    + TestCodec.CALLER_TIMEOUT + ": 100000\r\nContent-Length: 10\r\n\r\nhalf");
            assertThat(caller.read("\r\n\r\n")).startsWith("HTTP/1.1 503");
        }
    }
}
