package org.verbenatally.forward;

import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets that close a connection before the head of their response is complete. */
class TruncatedHeadTest {
    private static final String BODY = "id: 1\ndata: x\n\n";

    private ForwardFixture fixture;
    private final AtomicReference<String> response = new AtomicReference<>("");

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String head(String id, String framing) {
        return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n" + framing + "\r\n";
    }

    private RawTarget publish(String name, ServiceName service) throws Exception {
        RawTarget target = new RawTarget((request, out, socket) -> {
            RawTarget.write(out, response.get());
            return false;
        });
        fixture.publish(name, service, target);
        return target;
    }

    /** Returns what the caller reads until its connection is closed. */
    private String exchange(String path, String id) throws Exception {
        try (var caller = new RawCaller(fixture.callers)) {
            caller.write("GET " + path + " HTTP/1.1\r\nHost: " + fixture.callers.host() + "\r\n" + TestCodec.ID + ": "
                    + id + "\r\n" + TestCodec.CALLER_TIMEOUT + ": 3000\r\nConnection: close\r\n\r\n");
            return caller.read("no such text");
        }
    }

    /** Guards against a success with an empty or shortened body that the caller takes for complete. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, calls, true",
        "/repeat/x, calls, false",
        "/stream/x, engines, true",
        "/stream/x, engines, false"
    })
    void truncatedHeadIsNoSuccess(String path, String service, boolean hasLength) throws Exception {
        ServiceName name = service.equals("calls") ? CALLS : ENGINES;
        String framing = hasLength ? "Content-Length: " + BODY.length() + "\r\n" : "";
        try (RawTarget first = publish("a", name);
                RawTarget second = publish("b", name)) {
            int length = head("r0", framing).length();
            for (int end = 1; end < length; end += 3) {
                response.set(head("r0", framing).substring(0, end));
                assertThat(exchange(path, "r0"))
                        .as("head cut after %d of %d bytes", end, length)
                        .doesNotContain(" 200 ");
            }
            assertThat(first.requests().size() + second.requests().size()).isPositive();
        }
    }

    /** Guards against a check that would pass because nothing is ever passed on. */
    @Test
    void completeResponseWithoutLengthIsPassedOn() throws Exception {
        try (RawTarget target = publish("a", CALLS)) {
            response.set(head("r1", "") + BODY);
            assertThat(exchange("/once/x", "r1")).contains(" 200 ").contains(BODY);
            assertThat(target.requests()).hasSize(1);
        }
    }
}
