package org.verbenatally.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Requests to a server whose responses are written byte by byte. */
class GuardedHttpClientTest {
    private static final int TIMEOUT_SECONDS = 20;
    private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\nbody";
    private static final int UNREAD_BYTES = 50_000;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private GuardedHttpClient client = new GuardedHttpClient(vertx, new HttpClientOptions().setKeepAlive(false));
    private final AtomicInteger connections = new AtomicInteger();
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    GuardedHttpClientTest() throws IOException {}

    /** Responds to a request whose head was read; the connection is closed afterwards. */
    @FunctionalInterface
    private interface Script {
        void respond(Socket socket) throws IOException, InterruptedException;
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        vertx.close();
    }

    private void serve(Script script, Runnable onClosed) {
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try (Socket socket = server.accept()) {
                    connections.incrementAndGet();
                    readHead(socket);
                    script.respond(socket);
                } catch (IOException e) {
                    // The client or the test has closed a socket.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                onClosed.run();
            }
        });
    }

    private static void readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                throw new IOException("no request");
            }
            head.append((char) next);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private CompletableFuture<HttpClientResponse> send(Buffer body) {
        return client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(server.getInetAddress().getHostAddress())
                        .setPort(server.getLocalPort()))
                .compose((HttpClientRequest request) -> request.send(body))
                .toCompletionStage()
                .toCompletableFuture();
    }

    private String body(Buffer request) throws Exception {
        return send(request)
                .thenCompose(response -> response.body().toCompletionStage())
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .toString();
    }

    /** Guards against a reset that follows the end of the response and is hidden by it. */
    @Test
    void responseIsBrokenOffIfItsEndIsFollowedByAReset() throws Exception {
        var headSent = new CountDownLatch(1);
        var closed = new CountDownLatch(1);
        serve(
                socket -> {
                    write(socket, "HTTP/1.1 200 OK\r\n\r\n");
                    headSent.await();
                    write(socket, "body");
                },
                closed::countDown);
        var body = new CompletableFuture<Buffer>();
        send(Buffer.buffer(new byte[UNREAD_BYTES])).thenAccept(response -> {
            response.body().onComplete(body::complete, body::completeExceptionally);
            headSent.countDown();
            // Nothing more is read until the server has closed the connection with unread bytes.
            await(closed);
        });
        assertThatThrownBy(() -> body.get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                .hasMessageContaining("connection ended within the response");
    }

    /** Waits until the event loop has run its tasks, and those that they have added. */
    private void awaitTasks() throws Exception {
        for (int i = 0; i < 2; i++) {
            var done = new CompletableFuture<Void>();
            vertx.runOnContext(done::complete);
            done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a reset in the place of the end that is taken for it. */
    @Test
    void responseIsBrokenOffIfItsConnectionIsReset() {
        serve(
                socket -> {
                    write(socket, UNFRAMED);
                    socket.setSoLinger(true, 0);
                },
                () -> {});
        assertThatThrownBy(() -> body(Buffer.buffer())).isNotNull();
    }

    /** Guards against failures in the place of responses that end in order with their connections. */
    @Test
    void responseEndsWithItsConnection() throws Exception {
        serve(
                socket -> {
                    socket.getInputStream().skipNBytes(UNREAD_BYTES);
                    write(socket, UNFRAMED);
                },
                () -> {});
        for (int i = 0; i < 20; i++) {
            assertThat(body(Buffer.buffer(new byte[UNREAD_BYTES]))).isEqualTo("body");
        }
    }

    /** Guards against a field that the server did not state, and a connection that goes on behind it. */
    @Test
    void responseWithAMalformedFieldNameIsRejected() throws Exception {
        var closed = new CountDownLatch(1);
        serve(
                socket -> {
                    write(socket, "HTTP/1.1 200 OK\r\nBad Name: v\r\nContent-Length: 4\r\n\r\nbody");
                    // Ends when the client closes the connection.
                    assertThat(socket.getInputStream().read()).isNegative();
                },
                closed::countDown);
        assertThatThrownBy(() -> body(Buffer.buffer())).hasMessageContaining("malformed field name");
        assertThat(closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against connections that stay open, or are used again, after the server has closed its side. */
    @Test
    void connectionThatTheServerHasClosedIsNotUsed() throws Exception {
        client = new GuardedHttpClient(vertx, new HttpClientOptions().setKeepAlive(true));
        var closed = new CountDownLatch(1);
        serve(
                socket -> {
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
                    socket.shutdownOutput();
                    // Ends when the client closes its side.
                    assertThat(socket.getInputStream().read()).isNegative();
                },
                closed::countDown);
        assertThat(body(Buffer.buffer())).isEqualTo("body");
        assertThat(closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        awaitTasks();
        assertThat(body(Buffer.buffer())).isEqualTo("body");
        assertThat(connections).hasValue(2);
    }
}
