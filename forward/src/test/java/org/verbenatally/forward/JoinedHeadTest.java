package org.verbenatally.forward;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.core.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/** Targets that begin to repeat a response, break off within its head, and go on with the next response. */
class JoinedHeadTest {
    private static final int STATUS_LINE_LENGTH = 17;

    private ForwardFixture fixture;
    private final AtomicInteger joined = new AtomicInteger();

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    private static String response(String statusLine, String id, boolean statesIdLast, String body) {
        String signed = TestCodec.ID + ": " + id + "\r\n" + TestCodec.SIGNED + ": yes\r\n";
        String type = "Content-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n";
        return "HTTP/1.1 " + statusLine + "\r\n" + (statesIdLast ? type + signed : signed + type) + "\r\n" + body;
    }

    /** Responds to requests whose id ends with "a" with success, to the others with a failure. */
    private RawTarget target(int cut, boolean statesIdLast, boolean early) throws Exception {
        Map<Object, String> previous = new ConcurrentHashMap<>();
        return new RawTarget((head, out, socket) -> {
            String id = RawTarget.header(head, TestCodec.ID);
            boolean served = id.endsWith("a");
            String response = served
                    ? response("200 OK", id, statesIdLast, "id: 1\ndata: x\n\n")
                    : response("500 Internal Server Error", id, statesIdLast, "failed");
            String repeat = early ? response : previous.getOrDefault(socket, "");
            previous.put(socket, response);
            repeat = repeat.substring(0, Math.min(cut, repeat.length()));
            joined.addAndGet(served || repeat.isEmpty() ? 0 : 1);
            RawTarget.write(out, early ? response + repeat : repeat + response);
            return true;
        });
    }

    /**
     * Guards against a failure that is passed on as a success, because its head was joined with one that was broken
     * off: early, behind the response that it repeats, or late, before the response to the next request.
     */
    @ParameterizedTest
    @CsvSource({
        "/once/x, calls, true, true",
        "/once/x, calls, false, true",
        "/once/x, calls, true, false",
        "/once/x, calls, false, false",
        "/repeat/x, calls, true, false",
        "/stream/x, engines, true, false",
        "/stream/x, engines, false, true"
    })
    void failureIsNotPassedOnAsSuccess(String path, String service, boolean statesIdLast, boolean early)
            throws Exception {
        int length = response("200 OK", "r000a", statesIdLast, "").length();
        for (int cut = 1; cut < length; cut += cut < STATUS_LINE_LENGTH ? 1 : 4) {
            String name = "t" + cut;
            try (RawTarget target = target(cut, statesIdLast, early)) {
                fixture.publish(name, new ServiceName(service), target);
                HttpResponse<String> first = exchange(path, "r%03da".formatted(cut));
                HttpResponse<String> second = exchange(path, "r%03db".formatted(cut));
                fixture.leave(name);
                assertThat(first.statusCode()).isEqualTo(200);
                assertThat(second.statusCode())
                        .as("status behind a head that was cut after %d of %d bytes", cut, length)
                        .isIn(500, 502);
            }
        }
        assertThat(joined).as("responses behind a head that was cut").hasPositiveValue();
    }

    /** Guards against a failure that is passed on as a success because its status line is written unusually. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1  500 Error",
                "HTTP/1.1\t500 Error",
                "HTTP/1.1\u000b500 Error",
                "http/1.1 500 Error",
                "HTTP/1.0 500 Error",
                "HTTP/1.1 500",
                " HTTP/1.1 500 Error",
                "\r\nHTTP/1.1 500 Error"
            })
    void unusualStatusLineIsRecognised(String statusLine) throws Exception {
        for (String cut :
                List.of("HTTP/1.1 200 O", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nA: b", "HTTP/1.1 200 OK\r\nA:")) {
            try (RawTarget target = new RawTarget((head, out, socket) -> {
                String id = RawTarget.header(head, TestCodec.ID);
                String success = response("200 OK", id, false, "x");
                String failure = response("500 Error", id, false, "failed").replace("HTTP/1.1 500 Error", statusLine);
                RawTarget.write(out, id.startsWith("a") ? success : cut + failure);
                return true;
            })) {
                fixture.publish("t" + cut.length(), ForwardFixture.CALLS, target);
                exchange("/once/x", "a" + cut.length());
                assertThat(exchange("/once/x", "b" + cut.length()).statusCode())
                        .as("status behind %s", cut)
                        .isGreaterThanOrEqualTo(500);
                fixture.leave("t" + cut.length());
            }
        }
    }

    private HttpResponse<String> exchange(String path, String id) throws Exception {
        return fixture.send(
                fixture.request(path, id).header(TestCodec.TOKENS, "400").build());
    }
}
