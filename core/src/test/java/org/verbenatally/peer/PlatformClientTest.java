package org.verbenatally.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.verbenatally.core.Address;
import org.verbenatally.http.CuttingServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PlatformClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final String SOUND = "{\"id\":\"%s\",\"role\":\"engine\",\"host\":\"127.0.0.1\",\"port\":9001}";

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    private List<String> idsOf(String list) throws Exception {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> request.response().end(list))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        PlatformClient client = new PlatformClient(vertx, new Address("127.0.0.1", server.actualPort()));
        CompletableFuture<List<PlatformInstance>> instances = client.instances();
        return instances.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS).stream()
                .map(PlatformInstance::id)
                .toList();
    }

    static Stream<String> oddItems() {
        Stream<String> nested = Stream.of(1_001, 100_000)
                .flatMap(depth -> Stream.of(
                        "[".repeat(depth) + "]".repeat(depth),
                        "{\"x\":".repeat(depth) + "1" + "}".repeat(depth),
                        SOUND.formatted("odd").replace("9001", "[".repeat(depth) + "]".repeat(depth))));
        Stream<String> ports = Stream.of(
                        "0",
                        "-1",
                        "65536",
                        "4294976297",
                        "1e400",
                        "9001.5",
                        "9".repeat(30),
                        "9".repeat(5_000),
                        "\"9001\"",
                        "null",
                        "{}")
                .flatMap(port -> Stream.of(
                        SOUND.formatted("odd").replace("9001", port),
                        SOUND.formatted("odd")
                                .replace("9001", "9001,\"peerPort\":" + (port.equals("0") ? "-7" : port))));
        Stream<String> others = Stream.of(
                "7",
                "null",
                "{}",
                SOUND.formatted(""),
                SOUND.formatted("/"),
                SOUND.formatted("x".repeat(200)),
                SOUND.formatted("odd").replace("engine", "other"),
                SOUND.formatted("odd").replace("127.0.0.1", " "),
                SOUND.formatted("odd").replace("\"odd\"", "7"));
        return Stream.of(nested, ports, others).flatMap(s -> s);
    }

    /** Guards against one instance in the list that hides all others (the list was not followed). */
    @ParameterizedTest
    @MethodSource("oddItems")
    void oddInstanceHidesNoOthers(String odd) throws Exception {
        assertThat(idsOf("[" + SOUND.formatted("a") + "," + odd + "," + SOUND.formatted("b") + "]"))
                .containsExactly("a", "b");
    }

    /** Guards against dropping an instance because of a field that is not read. */
    @Test
    void unreadFieldsAreIgnored() throws Exception {
        String unread = "9001,\"peerPort\":0,\"zone\":{\"x\":[1e400," + "9".repeat(2_000) + "]}";
        assertThat(idsOf("[" + SOUND.formatted("a").replace("9001", unread) + "]"))
                .containsExactly("a");
    }

    private static String response(int status, String body) {
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Starts a platform that writes the same bytes for each request. */
    private PlatformClient client(String bytes, AtomicInteger connections) throws Exception {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> {
                    connections.incrementAndGet();
                    socket.handler(request -> socket.write(bytes));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        return new PlatformClient(vertx, new Address("127.0.0.1", server.actualPort()));
    }

    /** Guards against a list or document whose status is that of a response that was broken off. */
    @Test
    void joinedHeadIsNotBelieved() throws Exception {
        PlatformClient client = client("HTTP/1.1 200 O" + response(500, "[]"), new AtomicInteger());
        assertThatThrownBy(() -> client.instances().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .hasMessageContaining("the head of the response");
        assertThatThrownBy(() -> client.config(0, Duration.ZERO).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                .hasMessageContaining("the head of the response");
    }

    /** Guards against a document or list that is shortened, as a reset is hidden by the end of the connection. */
    @Test
    void responseThatIsCutIsNotBelieved() throws Exception {
        try (CuttingServer server = new CuttingServer("HTTP/1.1 200 x\r\n\r\n[]")) {
            PlatformClient client = new PlatformClient(vertx, server.address());
            assertThatThrownBy(() -> client.instances().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                    .hasMessageContaining("connection ended within the response");
            assertThatThrownBy(() -> client.config(0, Duration.ZERO).get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                    .hasMessageContaining("connection ended within the response");
        }
    }

    /** Guards against a second copy of a response that is taken for the response to the next read. */
    @Test
    void eachReadUsesANewConnection() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        PlatformClient client = client(response(200, "[]") + response(200, "[7]"), connections);
        for (int i = 0; i < 10; i++) {
            assertThat(client.instances().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS))
                    .isEmpty();
        }
        assertThat(connections).hasValue(10);
    }
}
