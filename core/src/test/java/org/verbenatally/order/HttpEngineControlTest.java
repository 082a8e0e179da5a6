package org.verbenatally.order;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;
import org.verbenatally.http.CuttingServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Reads and orders at an engine whose responses are written byte by byte. */
class HttpEngineControlTest {
    private static final int TIMEOUT_SECONDS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger connections = new AtomicInteger();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static String response(int status, String body) {
        return "HTTP/1.1 " + status + " x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Starts an engine that writes the same bytes for each request. */
    private Target engine(String bytes) throws Exception {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> {
                    connections.incrementAndGet();
                    socket.handler(request -> socket.write(bytes));
                })
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return engine(new Address("127.0.0.1", server.actualPort()));
    }

    private static Target engine(Address address) {
        return new Target(
                new TargetId("e"),
                TargetType.ENGINE,
                address,
                new FailureDomain("Bole"),
                List.of(),
                "serve",
                false,
                8,
                false);
    }

    /** Guards against an order that counts as accepted although the engine refused it. */
    @Test
    void joinedHeadIsNotBelieved() throws Exception {
        Target engine = engine("HTTP/1.1 202 O" + response(409, ""));
        try (HttpEngineControl control = new HttpEngineControl(vertx)) {
            EngineOrder order = new EngineOrder(
                    new ConfigVersion(1), Optional.empty(), Optional.empty(), Optional.empty(), "serve");
            assertThatThrownBy(() -> control.send(engine, order).get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .hasMessageContaining("the head of the response");
        }
    }

    /** Guards against a report that is shortened, as a reset is hidden by the end of the connection. */
    @Test
    void reportThatIsCutIsNotBelieved() throws Exception {
        try (CuttingServer server = new CuttingServer("HTTP/1.1 200 x\r\n\r\n{\"incarnation\":1}");
                HttpEngineControl control = new HttpEngineControl(vertx)) {
            assertThatThrownBy(() -> control.state(engine(server.address())).get(TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .hasMessageContaining("connection ended within the response");
        }
    }

    /** Guards against a second copy of a report that is taken for a later one. */
    @Test
    void eachReadUsesANewConnection() throws Exception {
        Target engine = engine(response(200, "{\"incarnation\":1}") + response(200, "{\"incarnation\":2}"));
        try (HttpEngineControl control = new HttpEngineControl(vertx)) {
            for (int i = 0; i < 10; i++) {
                assertThat(control.state(engine)
                                .get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                                .incarnation())
                        .isEqualTo("1");
            }
        }
        assertThat(connections).hasValue(10);
    }
}
