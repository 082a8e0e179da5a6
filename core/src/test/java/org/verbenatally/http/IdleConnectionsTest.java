package org.verbenatally.http;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class IdleConnectionsTest {
    private final IdleConnections connections = new IdleConnections(new ManualTimer(), Duration.ofSeconds(1));
    private final AtomicReference<Handler<Void>> closeHandler = new AtomicReference<>();

    @SuppressWarnings("unchecked")
    private HttpConnection connection() {
        return (HttpConnection) Proxy.newProxyInstance(
                HttpConnection.class.getClassLoader(), new Class<?>[] {HttpConnection.class}, (proxy, method, args) -> {
                    if (method.getName().equals("closeHandler")) {
                        closeHandler.set((Handler<Void>) args[0]);
                    }
                    return switch (method.getName()) {
                        case "hashCode" -> System.identityHashCode(proxy);
                        case "equals" -> proxy == args[0];
                        default -> proxy;
                    };
                });
    }

    /**
     * Guards against running a request whose connection was closed while the request waited to be handled: nothing
     * reports that its caller has left.
     */
    @Test
    void requestOfClosedConnectionIsNotStarted() {
        HttpConnection connection = connection();
        connections.onOpened(connection);
        assertThat(connections.tryStartRequest(connection)).isTrue();
        connections.onRequestEnd(connection);
        closeHandler.get().handle(null);
        assertThat(connections.tryStartRequest(connection)).isFalse();
        assertThat(connections.count()).isZero();
    }
}
