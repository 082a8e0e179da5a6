package org.verbenatally.forward;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

class GracefulStopTest {

    private static String request(ForwardFixture fixture, String id, int timeoutMs) {
        return "GET /once/x HTTP/1.1\r\nHost: " + fixture.callers.host() + "\r\n" + TestCodec.ID + ": " + id + "\r\n"
                + TestCodec.CALLER_TIMEOUT + ": " + timeoutMs + "\r\n\r\n";
    }

    /**
     * Guards against a planned stop that cuts off a request, or does not announce to a caller that its persistent
     * connection is closed.
     */
    @Test
    void openRequestsEndAndConnectionsAreClosed() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> stopping = new CompletableFuture<>();
        try (var fixture = new ForwardFixture();
                var target = new RawTarget((head, out, socket) -> {
                    arrived.complete(null);
                    stopping.join();
                    RawTarget.write(
                            out,
                            "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                                    + "\r\nTest-Signed: yes\r\nContent-Length: 4\r\n\r\nbody");
                    return true;
                });
                var caller = new RawCaller(fixture.callers);
                var idle = new RawCaller(fixture.callers)) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            caller.write(request(fixture, "open", 3_000));
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> stopped = fixture.server.stop();
            assertThat(fixture.server.notReadyReason()).contains("stopping");
            assertThat(stopped).isNotDone();
            stopping.complete(null);
            // Reads to the end of the connection.
            assertThat(caller.read("(never)"))
                    .containsIgnoringCase("connection: close")
                    .endsWith("body");
            idle.write(request(fixture, "late", 100));
            assertThat(idle.read("(never)")).startsWith("HTTP/1.1 200").endsWith("body");
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    /**
     * Guards against closing a connection after a response that did not announce it, since its head was sent before the
     * stop: the next request on the connection would get no response.
     */
    @Test
    void requestAfterResponseThatBeganBeforeTheStopIsAnswered() throws Exception {
        CompletableFuture<Void> stopping = new CompletableFuture<>();
        String event = "id: 1\ndata: x\n\n";
        try (var fixture = new ForwardFixture();
                var engine = new RawTarget((head, out, socket) -> {
                    RawTarget.write(
                            out,
                            "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                                    + "\r\nTest-Signed: yes\r\nContent-Length: " + 2 * event.length() + "\r\n\r\n"
                                    + event);
                    stopping.join();
                    RawTarget.write(out, event);
                    return true;
                });
                var caller = new RawCaller(fixture.callers)) {
            fixture.configure(1);
            fixture.publish("a", CALLS, engine);
            fixture.publish("b", ENGINES, engine);
            caller.write(request(fixture, "begun", 3_000).replace("/once/", "/stream/"));
            assertThat(caller.read("\n\n")).startsWith("HTTP/1.1 200");
            CompletableFuture<Void> stopped = fixture.server.stop();
            stopping.complete(null);
            assertThat(caller.read("0\r\n\r\n")).contains(event);
            caller.write(request(fixture, "next", 100));
            assertThat(caller.read("(never)"))
                    .startsWith("HTTP/1.1 200")
                    .containsIgnoringCase("connection: close")
                    .endsWith(event + event);
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    /** Guards against connections that stay open while the process ends and reads nothing more from them. */
    @Test
    void connectionsAreClosedBeforeTheProcessEnds() throws Exception {
        try (var fixture = new ForwardFixture();
                var idle = new RawCaller(fixture.callers)) {
            fixture.configure(1);
            fixture.server.stop().get(10, TimeUnit.SECONDS);
            assertThat(idle.read("(never)")).isEmpty();
            assertThatThrownBy(() -> new RawCaller(fixture.callers)).isInstanceOf(ConnectException.class);
        }
    }

    /** Guards against a call that is taken late in the grace period and cut off at its end without a response. */
    @Test
    void lateCallIsRefusedOrAnsweredBeforeTheEnd() throws Exception {
        CompletableFuture<Void> never = new CompletableFuture<>();
        try (var fixture = new ForwardFixture();
                var target = new RawTarget((head, out, socket) -> {
                    never.join();
                    return false;
                });
                var outlived = new RawCaller(fixture.callers);
                var tooLong = new RawCaller(fixture.callers)) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            CompletableFuture<Void> stopped = fixture.server.stop();
            outlived.write(request(fixture, "outlived", 1_000));
            tooLong.write(request(fixture, "too-long", 2_000));
            assertThat(tooLong.read("(never)")).startsWith("HTTP/1.1 503");
            assertThat(outlived.read("(never)")).startsWith("HTTP/1.1 504");
            assertThat(target.requests())
                    .singleElement()
                    .satisfies(head ->
                            assertThat(RawTarget.header(head, TestCodec.ID)).isEqualTo("outlived"));
            stopped.get(10, TimeUnit.SECONDS);
        }
    }
}
