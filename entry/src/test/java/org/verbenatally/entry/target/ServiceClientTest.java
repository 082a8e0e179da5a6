package org.verbenatally.entry.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;

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
    private static final int MAX_CALLS = 100;

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

    private static String callId(String request) {
        return request.lines()
                .filter(line -> line.regionMatches(true, 0, "Call-Id: ", 0, 9))
                .map(line -> line.substring(9))
                .findFirst()
                .orElseThrow();
    }

    /** Starts a service that writes what the script returns for the id of a call and its number on its connection. */
    private Target service(BiFunction<String, Integer, String> script) throws IOException {
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

    private static void serve(Socket socket, BiFunction<String, Integer, String> script) {
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
                socket.getOutputStream()
                        .write(script.apply(callId(request.toString()), i).getBytes(StandardCharsets.UTF_8));
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

    /** Makes calls until one has been made on a connection that was used before; returns the results in order. */
    private List<String> callUntilConnectionIsReused(Target target) throws Exception {
        List<String> results = new ArrayList<>();
        while (results.size() == connections.get() && results.size() < MAX_CALLS) {
            results.add(call(target, "c" + results.size()));
        }
        assertThat(connections).as("connections for %d calls", results.size()).hasValue(results.size() - 1);
        return results;
    }

    /** Guards against a refusal of an earlier call that makes a running one count as not run. */
    @Test
    void copyOfRefusalIsIgnored() throws Exception {
        Target target =
                service((id, i) -> response(503, i == 0 ? "Call-Id: " + id + "\r\n" : "", "{\"reason\":\"full\"}"));
        List<String> results = callUntilConnectionIsReused(target);
        assertThat(results.removeLast()).isEqualTo("BAD_ANSWER");
        assertThat(results).containsOnly("FULL");
    }

    /** Guards against a response that is handed to the caller of another call. */
    @Test
    void copyOfResponseIsIgnored() throws Exception {
        Target target = service((id, i) ->
                response(200, "Call-Id: " + (i == 0 ? id : "c-earlier") + "\r\n", i == 0 ? id : "c-earlier"));
        List<String> results = callUntilConnectionIsReused(target);
        assertThat(results.removeLast()).isEqualTo("BAD_ANSWER");
        assertThat(results).startsWith("c0").doesNotContain("BAD_ANSWER");
    }

    /** Guards against services that do not state the call of a response and are no longer usable, or not safely. */
    @Test
    void serviceThatDoesNotStateTheCallGetsNewConnections() throws Exception {
        Target target = service((id, i) -> response(200, "", "answer " + i));
        for (int i = 1; i <= 10; i++) {
            assertThat(call(target, "c" + i)).isEqualTo("answer 0");
            assertThat(connections).hasValue(i);
        }
    }
}
