package org.verbenatally.forward;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Targets whose responses have field names that HTTP does not allow. */
class MalformedFieldNameTest {
    private static final List<String> PATHS = List.of("/once/x", "/repeat/x", "/stream/x");
    private static final List<String> FRAMINGS = List.of("sized", "chunked", "unframed");
    private static final String EVENTS = "id: 1\ndata: x\n\nid: 2\ndata: y\n\n";

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

    /** Returns a success with another line in its head, in front of the framing or behind it. */
    private static String response(String id, String line, String framing, boolean first) {
        String fields = "Test-Id: " + id + "\r\nTest-Signed: yes\r\n";
        String length =
                switch (framing) {
                    case "sized" -> "Content-Length: " + EVENTS.length() + "\r\n";
                    case "chunked" -> "Transfer-Encoding: chunked\r\n";
                    default -> "";
                };
        String body = framing.equals("chunked")
                ? Integer.toHexString(EVENTS.length()) + "\r\n" + EVENTS + "\r\n0\r\n\r\n"
                : EVENTS;
        return "HTTP/1.1 200 OK\r\n" + (first ? line + "\r\n" + fields + length : fields + length + line + "\r\n")
                + "\r\n" + body;
    }

    private HttpResponse<String> exchange(String path, String line, String framing, boolean first) throws Exception {
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            writeLatin1(out, response(RawTarget.header(head, TestCodec.ID), line, framing, first));
            return !framing.equals("unframed");
        })) {
            fixture.publish("a", CALLS, target);
            fixture.publish("b", ENGINES, target);
            HttpResponse<String> received = fixture.send(
                    fixture.request(path, "r1").header(TestCodec.TOKENS, "400").build());
            assertThat(target.requests()).as("sends").hasSizeLessThanOrEqualTo(path.startsWith("/repeat") ? 2 : 1);
            return received;
        }
    }

    private static void writeLatin1(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Returns each line on each path and with each framing, first or last in the head in turn. */
    private static Stream<Arguments> withEachForm(Stream<String> lines) {
        AtomicInteger form = new AtomicInteger();
        return lines.flatMap(line -> PATHS.stream()
                .flatMap(path -> FRAMINGS.stream()
                        .map(framing -> Arguments.of(path, line, framing, form.incrementAndGet() % 2 == 0))));
    }

    private static Stream<Arguments> malformedLines() {
        Stream<String> bytes = Stream.of('\0', '\1', '\t', '\13', '\r', ' ', '\177', '\240', '(', '/')
                .map(c -> "Bad" + c + "Name: v");
        Stream<String> lines = Stream.of(
                "Bad Name : v",
                " Leading: v",
                "\tLeading: v",
                " ",
                ": v",
                "NoColon",
                "Content Length: 5",
                "Transfer Encoding: chunked",
                "Content-Length 5: 7",
                "Content-Length\t5: 7",
                " Content-Length: 5");
        return withEachForm(Stream.concat(bytes, lines));
    }

    /** Guards against responses that are passed on with a field, or a length, that their target did not state. */
    @ParameterizedTest
    @MethodSource("malformedLines")
    void responseIsNotPassedOn(String path, String line, String framing, boolean first) throws Exception {
        HttpResponse<String> received = exchange(path, line, framing, first);
        assertThat(received.statusCode()).isIn(502, 504);
        assertThat(received.body()).isEmpty();
        assertThat(received.headers().firstValue("Test-Signed")).isEmpty();
    }

    private static Stream<Arguments> soundLines() {
        return withEachForm(
                Stream.of("Sound:v", "Sound:  v", "Sound:\tv \t", "Sound : v", "!#$%&'*+-.^_`|~9aZ:", "Sound: a b:c"));
    }

    /** Guards against failures in the place of responses whose fields have white space around their values. */
    @ParameterizedTest
    @MethodSource("soundLines")
    void soundResponseIsPassedOn(String path, String line, String framing, boolean first) throws Exception {
        HttpResponse<String> received = exchange(path, line, framing, first);
        assertThat(received.statusCode()).isEqualTo(200);
        assertThat(received.body()).isEqualTo(EVENTS);
        String name = line.substring(0, line.indexOf(':')).strip();
        assertThat(received.headers().firstValue(name))
                .contains(line.substring(line.indexOf(':') + 1).strip());
    }

    /** Guards against lines behind the last chunk that reach callers, with malformed names or not. */
    @ParameterizedTest
    @ValueSource(strings = {"Bad Name: v", "Test-Trailer: v", " Leading: v"})
    void trailersAreNotPassedOn(String line) throws Exception {
        try (RawTarget target = new RawTarget((head, out, socket) -> {
            writeLatin1(
                    out,
                    response(RawTarget.header(head, TestCodec.ID), "X: y", "chunked", true)
                            .replace("\r\n0\r\n", "\r\n0\r\n" + line + "\r\n"));
            return true;
        })) {
            fixture.publish("b", ENGINES, target);
            try (var caller = new RawCaller(fixture.callers)) {
                caller.write("GET /stream/x HTTP/1.1\r\nHost: " + fixture.callers.host() + "\r\nTest-Id: r1\r\n"
                        + "Test-Patience: 3000\r\nTest-Tokens: 400\r\nConnection: close\r\n\r\n");
                assertThat(caller.read("no such text")).doesNotContain("Name", "Trailer", "Leading");
            }
        }
    }
}
