package org.verbenatally.peer;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.verbenatally.core.Address;

/** A network between peers in which connections can be refused and silenced. Each connection has its own relay. */
final class Network {
    private final Vertx vertx;
    private final NetClient client;
    private final Set<String> refused = ConcurrentHashMap.newKeySet();
    private final Map<Connection, Boolean> connections = new ConcurrentHashMap<>();

    private final class Connection {
        private final String from;
        private final Address to;
        private final NetSocket near;
        private final NetSocket far;
        private volatile boolean silent;

        Connection(String from, Address to, NetSocket near, NetSocket far) {
            this.from = from;
            this.to = to;
            this.near = near;
            this.far = far;
            pipe(near, far);
            pipe(far, near);
            connections.put(this, true);
        }

        private void pipe(NetSocket a, NetSocket b) {
            a.handler(bytes -> {
                if (!silent) {
                    b.write(bytes);
                }
            });
            a.closeHandler(v -> {
                connections.remove(this);
                // A silent connection does not report that it was closed either.
                if (!silent) {
                    b.close();
                }
            });
        }
    }

    Network(Vertx vertx) {
        this.vertx = vertx;
        client = vertx.createNetClient();
    }

    Links.Dialer from(String instance) {
        return to -> {
            if (refused.contains(instance + ">" + to)) {
                return Future.failedFuture("refused by the test network");
            }
            NetServer relay = vertx.createNetServer();
            relay.connectHandler(near -> {
                near.pause();
                client.connect(to.port(), to.host())
                        .onSuccess(far -> {
                            new Connection(instance, to, near, far);
                            near.resume();
                        })
                        .onFailure(e -> near.close());
            });
            return relay.listen(0, "127.0.0.1").compose(r -> client.connect(r.actualPort(), "127.0.0.1"));
        };
    }

    /** Refuses new connections and silences the existing ones. */
    void block(String from, Address to) {
        refused.add(from + ">" + to);
        silence(from, to);
    }

    void unblock(String from, Address to) {
        refused.remove(from + ">" + to);
    }

    /** Silences the open connections, but not later ones; returns the number of connections silenced. */
    long silence(String from, Address to) {
        return connections.keySet().stream()
                .filter(c -> c.from.equals(from) && c.to.equals(to))
                .peek(c -> c.silent = true)
                .count();
    }
}
