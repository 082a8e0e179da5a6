package org.verbenatally.entry.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.KindName;
import org.verbenatally.core.TargetId;

import static org.assertj.core.api.Assertions.assertThat;

/** Calls to a service whose responses are written byte by byte. */
class ServiceClientTest {
    private final Vertx vertx = Vertx.vertx();
    private final ServiceClient client = new TargetClients(vertx).services();
    private final AtomicInteger connections = new AtomicInteger();
    private ServerSocket server;

    @AfterEach
    void stop() throws Exception {
        server.close();
        vertx.close();
    }

    private static String response(int status, String headers, String body) {
        return "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Starts a service that writes, on each connection, what the script returns for the number of a request there. */
    private Target service(Function<Integer, String> script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(() -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    connections.incrementAndGet();
                    Thread.ofVirtual().start(() -> serve(socket, script));
                } catch (IOException e) {
                    return;
                }
            }
        });
        Address address = new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
        return new Target(
                new TargetId("t"),
                TargetType.SERVICE,
                address,
                new FailureDomain("Bole"),
                List.of(),
                "serve",
                false,
                8,
                false);
    }

    private static void serve(Socket socket, Function<Integer, String> script) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (int i = 0; ; i++) {
                StringBuilder request = new StringBuilder();
                while (request.indexOf("\r\n\r\n{}") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return;
                    }
                    request.append((char) next);
                }
                socket.getOutputStream().write(script.apply(i).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException e) {
            // The client has closed the connection.
        }
    }

    /** Makes a call on a pooled connection and returns the body of the response, or the cause of the failure. */
    private String call(Target target, String id) throws Exception {
        CompletableFuture<String> result = new CompletableFuture<>();
        vertx.deployVerticle(
                new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        try {
                            var response = client.call(
                                    target,
                                    new KindName("check"),
                                    id,
                                    Buffer.buffer("{}"),
                                    false,
                                    Duration.ofSeconds(5),
                                    () -> true);
                            result.complete(response.body().toString());
                        } catch (TargetFailure e) {
                            result.complete(e.reason().toString());
                        }
                        return Future.succeededFuture();
                    }
                },
                new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD));
        return result.get(10, TimeUnit.SECONDS);
    }

    /** Guards against a refusal of an earlier call that makes a running one count as not run. */
    @Test
    void copyOfRefusalIsIgnored() throws Exception {
        Target target = service(i -> response(503, i == 0 ? "Call-Id: c0\r\n" : "", "{\"reason\":\"full\"}"));
        assertThat(call(target, "c0")).isEqualTo("FULL");
        assertThat(call(target, "c1")).isEqualTo("BAD_ANSWER");
        assertThat(connections).hasValue(1);
    }

    /** Guards against a response that is handed to the caller of another call. */
    @Test
    void copyOfResponseIsIgnored() throws Exception {
        Target target = service(i -> response(200, "Call-Id: c0\r\n", "answer to c0"));
        assertThat(call(target, "c0")).isEqualTo("answer to c0");
        assertThat(call(target, "c1")).isEqualTo("BAD_ANSWER");
        assertThat(connections).hasValue(1);
    }

    /** Guards against services that do not state the call of a response and are no longer usable, or not safely. */
    @Test
    void connectionIsNotKeptIfServiceDoesNotStateTheCall() throws Exception {
        Target target = service(i -> response(200, "", "answer " + i));
        assertThat(call(target, "c0")).isEqualTo("answer 0");
        assertThat(call(target, "c1")).isEqualTo("answer 0");
        assertThat(connections).hasValue(2);
    }
}
