package org.verbenatally.forward;

import java.net.SocketException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.ForwardFixture.CALLS;

class ForwardHandlerTest {

    /** A codec that fails at one step, as if there was a fault in the program. */
    private record FailingCodec(HttpMessageCodec codec, String failingStep) implements HttpMessageCodec {
        private void failAt(String step) {
            if (step.equals(failingStep)) {
                throw new IllegalStateException("fault at " + step);
            }
        }

        @Override
        public RequestHead read(HttpServerRequest request) {
            failAt("request");
            return codec.read(request);
        }

        @Override
        public void write(ForwardingMetadata metadata, MultiMap headers) {
            codec.write(metadata, headers);
        }

        @Override
        public void writeTimeout(Duration remaining, MultiMap headers) {
            codec.writeTimeout(remaining, headers);
        }

        @Override
        public ResponseHead read(HttpClientResponse response) {
            failAt("response");
            return codec.read(response);
        }

        @Override
        public EngineOrder copyRequest(String requestId, Address destination) {
            return codec.copyRequest(requestId, destination);
        }

        @Override
        public EngineOrder stopRequest(String requestId, Address destination) {
            return codec.stopRequest(requestId, destination);
        }

        @Override
        public EngineOrder releaseRequest(String copyId) {
            return codec.releaseRequest(copyId);
        }

        @Override
        public Optional<String> readCopyResponse(int status, Buffer body) {
            return codec.readCopyResponse(status, body);
        }

        @Override
        public Optional<String> readStopResponse(int status, Buffer body) {
            return codec.readStopResponse(status, body);
        }

        @Override
        public boolean isNotRunning(int orderStatus) {
            return codec.isNotRunning(orderStatus);
        }
    }

    private static RawTarget target(String moreHeaders) throws Exception {
        return new RawTarget((head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID) + "\r\nTest-Signed: yes\r\n"
                            + moreHeaders + "Content-Length: 4\r\n\r\nbody");
            return true;
        });
    }

    private static HttpResponse<String> send(UnaryOperator<HttpMessageCodec> codec, String timeoutMs) throws Exception {
        try (var fixture = new ForwardFixture(Duration.ofSeconds(3), codec.apply(new TestCodec()));
                var target = target("")) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            return fixture.send(fixture.request("/once/x", "r1")
                    .setHeader(TestCodec.CALLER_TIMEOUT, timeoutMs)
                    .build());
        }
    }

    /** Guards against closing the connection of a caller whose timeout is too large for the clock. */
    @Test
    void requestWithHugeTimeoutIsServed() throws Exception {
        assertThat(send(codec -> codec, Long.toString(Long.MAX_VALUE)).statusCode())
                .isEqualTo(200);
    }

    /** Guards against closing the caller's connection on an internal error before the request was sent to a target. */
    @Test
    void internalErrorBeforeSendIsRefused() throws Exception {
        assertThat(send(codec -> new FailingCodec(codec, "request"), "3000").statusCode())
                .isEqualTo(503);
    }

    /** Guards against closing the caller's connection on an internal error after the request was sent to a target. */
    @Test
    void internalErrorAfterSendIsAnswered() throws Exception {
        HttpResponse<String> response = send(codec -> new FailingCodec(codec, "response"), "3000");
        assertThat(response.statusCode()).isEqualTo(502);
        assertThat(response.headers().firstValue(TestCodec.SIGNED)).isEmpty();
    }

    /** Guards against a connection to a target that is kept for good by a response that nobody reads. */
    @Test
    void internalErrorEndsTheExchangeWithTheTarget() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        try (var fixture = new ForwardFixture();
                var target = new RawTarget((head, out, socket) -> {
                    try {
                        RawTarget.write(
                                out,
                                "HTTP/1.1 200 OK\r\nTest-Id: r1\r\nTest-Signed: yes\r\nX-Odd: a\u000bb\r\n"
                                        + "Content-Length: 900000\r\n\r\n" + "x".repeat(400_000));
                        if (socket.getInputStream().read() < 0) {
                            cancelled.complete(null);
                        }
                    } catch (SocketException e) {
                        // The connection may be reset before all is written.
                        cancelled.complete(null);
                    }
                    return false;
                })) {
            fixture.configure(1);
            fixture.publish("a", CALLS, target);
            assertThat(fixture.send(fixture.request("/once/x", "r1").build()).statusCode())
                    .isEqualTo(502);
            cancelled.get(2, TimeUnit.SECONDS);
        }
    }

    /** Guards against a request that stays open for the time of its body after its caller has left. */
    @Test
    void callerThatLeavesBeforeItsBodyIsReadIsGivenUp() throws Exception {
        try (var fixture = new ForwardFixture()) {
            fixture.configure(1);
            try (var caller = new RawCaller(fixture.callers)) {
                caller.write("POST /once/x HTTP/1.1\r\nHost: " + fixture.callers
                        + "\r\nTest-Id: r1\r\nTest-Patience: 8000\r\nContent-Length: 10\r\n\r\n");
                assertThat(fixture.awaitGauge("verbenatally_open_requests", 1)).isEqualTo(1);
            }
            assertThat(fixture.awaitGauge("verbenatally_open_requests", 0)).isZero();
        }
    }

    /** Guards against an engine that works on for a request that has failed with an internal error. */
    @Test
    void internalErrorReleasesTheEngine() throws Exception {
        CompletableFuture<Void> cancelled = new CompletableFuture<>();
        try (var fixture = new ForwardFixture(Duration.ofSeconds(3), new FailingCodec(new TestCodec(), "response"));
                var engine = new RawTarget((head, out, socket) -> {
                    RawTarget.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    if (socket.getInputStream().read() < 0) {
                        cancelled.complete(null);
                    }
                    return false;
                })) {
            fixture.configure(1);
            fixture.publish("engine", ForwardFixture.ENGINES, engine);
            HttpRequest request = fixture.request("/stream/x", "r1")
                    .header(TestCodec.TOKENS, "1000")
                    .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                    .build();
            assertThat(fixture.send(request).statusCode()).isEqualTo(502);
            cancelled.get(10, TimeUnit.SECONDS);
            assertThat(fixture.server.directory().ownLoads()).allMatch(load -> load.getRequests() == 0);
        }
    }
}
