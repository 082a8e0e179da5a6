package org.verbenatally.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.verbenatally.core.Address;

/** Checks whether targets accept connections. Checks of the same target that overlap share one connection. */
final class TargetProbe {
    /** A listening process accepts a connection within a round trip; one that died refuses it or does not respond. */
    static final Duration TIMEOUT = Duration.ofMillis(500);

    private final NetClient client;
    private final Map<Address, Future<Void>> running = new ConcurrentHashMap<>();

    TargetProbe(Vertx vertx) {
        Objects.requireNonNull(vertx, "vertx");
        this.client = vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) TIMEOUT.toMillis()));
    }

    /** Returns a future that succeeds if the target accepts a connection, and fails with the reason otherwise. */
    Future<Void> check(ForwardTarget target) {
        Address address = target.address();
        Future<Void> check = running.computeIfAbsent(
                address, a -> client.connect(a.port(), a.host()).compose(socket -> socket.close()));
        return check.onComplete(result -> running.remove(address, check));
    }
}
