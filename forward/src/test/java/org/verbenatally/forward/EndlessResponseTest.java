package org.verbenatally.forward;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Responses that do not end until the client closes the connection. */
class EndlessResponseTest {
    /** Far beyond the timeout of the callers, which is 3 s; only a failing test waits this long. */
    private static final long BOUND_SECONDS = 20;

    /** The bytes that are read of a head or an event are bounded; the rest of this limit may be in socket buffers. */
    private static final long MAX_HEAD_BYTES_READ = 32L << 20;

    private static final int OK = 200;
    private static final Duration TRICKLE_INTERVAL = Duration.ofMillis(100);

    private final CountDownLatch closedByInstance = new CountDownLatch(1);
    private final AtomicLong written = new AtomicLong();
    private ForwardFixture fixture;
    private RawTarget target;

    @BeforeEach
    void start() throws Exception {
        fixture = new ForwardFixture();
        fixture.configure(1);
    }

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        target.close();
    }

    /** Returns the start of a response of each kind; the part that follows is repeated. */
    private static String responseStart(String kind, String id) {
        String head = "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nTest-Signed: yes\r\n";
        return switch (kind) {
            case "status line" -> "HTTP/1.1 200 ";
            case "header line" -> head + "Long: ";
            case "headers" -> head;
            case "interim responses" -> "";
            case "chunk size", "chunk extension" -> head + "Transfer-Encoding: chunked\r\n\r\n";
            case "trailers" -> head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n";
            default -> head + "\r\n";
        };
    }

    private static String repeatedPart(String kind) {
        return switch (kind) {
            case "headers", "trailers" -> "A: b\r\n".repeat(200);
            case "interim responses" -> "HTTP/1.1 102 Processing\r\n\r\n".repeat(50);
            case "chunk size" -> "0".repeat(1_000);
            case "chunk extension" -> "1;x=" + "y".repeat(1_000);
            case "events" -> "id: 1\ndata: x\n\n".repeat(60);
            case "comments" -> ":\n\n".repeat(300);
            default -> "x".repeat(1_000);
        };
    }

    private void publish(String kind, boolean slowly) throws IOException {
        target = new RawTarget((head, out, socket) -> {
            if (RawTarget.header(head, TestCodec.ID).equals("next")) {
                RawTarget.write(
                        out, "HTTP/1.1 200 OK\r\nTest-Id: next\r\nTest-Signed: yes\r\nContent-Length: 4\r\n\r\nnext");
                return true;
            }
            RawTarget.write(out, responseStart(kind, RawTarget.header(head, TestCodec.ID)));
            writeUntilClosed(out, socket, repeatedPart(kind), slowly);
            return false;
        });
        fixture.publish("a", CALLS, target);
        fixture.publish("b", ENGINES, target);
    }

    private void writeUntilClosed(OutputStream out, Socket socket, String bytes, boolean slowly)
            throws InterruptedException {
        try {
            while (!socket.isClosed()) {
                RawTarget.write(out, slowly ? bytes.substring(0, 1) : bytes);
                written.addAndGet(bytes.length());
                if (slowly) {
                    TimeUnit.NANOSECONDS.sleep(TRICKLE_INTERVAL.toNanos());
                }
            }
        } catch (IOException e) {
            // The instance has closed the connection.
            closedByInstance.countDown();
        }
    }

    /** Sends a request and discards the response; returns whether it looked like a complete success. */
    private boolean isSuccessful(String path) throws Exception {
        try {
            HttpResponse<InputStream> response =
                    fixture.open(fixture.request(path, "endless").build());
            try (InputStream body = response.body()) {
                body.transferTo(OutputStream.nullOutputStream());
            }
            assertThat(response.statusCode()).as("states whether it ran").isNotIn(429, 503, 408, 421);
            return response.statusCode() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    private void assertClosedAndNextServed(String path) throws Exception {
        assertThat(isSuccessful(path)).as("looked complete").isFalse();
        assertThat(closedByInstance.await(BOUND_SECONDS, TimeUnit.SECONDS))
                .as("connection closed")
                .isTrue();
        HttpResponse<String> next =
                fixture.send(fixture.request("/once/x", "next").build());
        assertThat(next.body()).isEqualTo("next");
    }

    /**
     * Guards against a head or body framing without end that takes up memory or keeps the exchange waiting without end.
     */
    @ParameterizedTest
    @CsvSource({
        "status line, /once/x",
        "header line, /once/x",
        "headers, /once/x",
        "interim responses, /once/x",
        "chunk size, /once/x",
        "chunk extension, /once/x",
        "trailers, /once/x",
        "status line, /stream/x",
        "headers, /stream/x",
        "interim responses, /stream/x",
        "chunk size, /stream/x",
        "event, /stream/x"
    })
    void endlessHeadOrFramingIsCutOff(String kind, String path) throws Exception {
        publish(kind, false);
        assertClosedAndNextServed(path);
        if (!kind.equals("interim responses")) {
            assertThat(written.get()).as("bytes read").isLessThan(MAX_HEAD_BYTES_READ);
        }
    }

    /** Guards against a body without end that is still passed on after the caller's time is over. */
    @ParameterizedTest
    @CsvSource({"body, /once/x", "body, /repeat/x", "events, /stream/x", "comments, /stream/x"})
    void endlessBodyEndsAtCallerTimeout(String kind, String path) throws Exception {
        publish(kind, false);
        assertClosedAndNextServed(path);
    }

    /** Guards against an exchange that is kept open by a byte now and then. */
    @ParameterizedTest
    @CsvSource({
        "status line, /once/x",
        "headers, /once/x",
        "body, /once/x",
        "status line, /stream/x",
        "body, /stream/x",
        "comments, /stream/x"
    })
    void trickleEndsAtCallerTimeout(String kind, String path) throws Exception {
        publish(kind, true);
        assertClosedAndNextServed(path);
    }

    /** Guards against cutting off responses that are slow but valid. */
    @Test
    void slowResponseIsServed() throws Exception {
        target = new RawTarget((head, out, socket) -> {
            RawTarget.write(out, "HTTP/1.1 200 OK\r\nTest-Id: slow\r\nTest-Signed: yes\r\nContent-Length: 10\r\n\r\n");
            for (int i = 0; i < 10; i++) {
                TimeUnit.NANOSECONDS.sleep(TRICKLE_INTERVAL.toNanos());
                RawTarget.write(out, "x");
            }
            return true;
        });
        fixture.publish("a", CALLS, target);
        HttpResponse<String> response =
                fixture.send(fixture.request("/once/x", "slow").build());
        assertThat(response.body()).isEqualTo("x".repeat(10));
    }
}
