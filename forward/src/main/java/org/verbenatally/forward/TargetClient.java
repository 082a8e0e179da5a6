package org.verbenatally.forward;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.verbenatally.core.Address;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.http.ConnectionHistory;
import org.verbenatally.http.GuardedHttpClient;
import org.verbenatally.time.TimedAwait;

/**
 * Sends requests to targets over pooled connections. Methods block and must run in a virtual-thread task. Failures are
 * {@link StepException}s: {@code NOT_RUN} if nothing was sent, {@code UNKNOWN} otherwise.
 */
final class TargetClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);
    /**
     * Connections that were idle for longer may have been closed by the target, which leaves it unclear whether a
     * request has run.
     */
    private static final int KEEP_ALIVE_SECONDS = 2;

    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int MIN_CONNECTIONS = 8;
    /** Largest number of unpooled connections to one target at a time. */
    private static final int MAX_UNPOOLED_CONNECTIONS = 16;
    /** Largest number of connections to one target, at a time, over which runs are stopped. */
    private static final int MAX_STOP_CONNECTIONS = 64;
    /** Largest number of connections to one peer at a time. */
    private static final int MAX_PEER_CONNECTIONS = 256;

    private final Vertx vertx;
    private final IntSupplier members;
    private final ConnectionHistory connections = new ConnectionHistory();

    private final Map<ServiceName, GuardedHttpClient> clients = new ConcurrentHashMap<>();
    private final GuardedHttpClient unpooledClient;
    private final GuardedHttpClient stopClient;
    private final GuardedHttpClient peerClient;

    TargetClient(Vertx vertx, IntSupplier members) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.members = Objects.requireNonNull(members, "members");
        this.unpooledClient = createClient(false, MAX_UNPOOLED_CONNECTIONS);
        this.stopClient = createClient(false, MAX_STOP_CONNECTIONS);
        this.peerClient = createClient(false, MAX_PEER_CONNECTIONS);
    }

    private GuardedHttpClient client(ServiceSpec service) {
        return clients.computeIfAbsent(service.name(), name -> {
            int share = service.maxConnections() / Math.max(1, members.getAsInt());
            return createClient(true, Math.max(MIN_CONNECTIONS, share));
        });
    }

    private GuardedHttpClient createClient(boolean keepAlive, int maxConnections) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setKeepAlive(keepAlive)
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setDecompressionSupported(false)
                .setTcpNoDelay(true);
        return new GuardedHttpClient(vertx, options, new PoolOptions().setHttp1MaxSize(maxConnections));
    }

    /**
     * Obtains a connection for a request. Nothing is sent before {@link TargetExchange#send}.
     *
     * @throws StepException with outcome {@code NOT_RUN} if there is no connection in time
     */
    TargetExchange connect(ServiceSpec service, Address address, HttpMethod method, String uri, Duration limit) {
        return connect(client(service), address, method, uri, limit);
    }

    /**
     * Obtains a new connection, which is closed after the exchange, for a request whose response does not state to
     * which request it belongs.
     *
     * @throws StepException with outcome {@code NOT_RUN} if there is no connection in time
     */
    TargetExchange connectUnpooled(Address address, HttpMethod method, String uri, Duration limit) {
        return connect(unpooledClient, address, method, uri, limit);
    }

    /**
     * The same for an order to stop a run, which must not wait for connections on which a target makes copies.
     *
     * @throws StepException with outcome {@code NOT_RUN} if there is no connection in time
     */
    TargetExchange connectForStop(Address address, HttpMethod method, String uri, Duration limit) {
        return connect(stopClient, address, method, uri, limit);
    }

    /**
     * Obtains a new connection to another instance, which is closed after the exchange.
     *
     * @throws StepException with outcome {@code NOT_RUN} if there is no connection in time
     */
    TargetExchange connectToPeer(Address address, HttpMethod method, String uri, Duration limit) {
        return connect(peerClient, address, method, uri, limit);
    }

    private TargetExchange connect(
            GuardedHttpClient client, Address address, HttpMethod method, String uri, Duration limit) {
        Optional<ConnectionHistory.Exchange> exchange = Optional.empty();
        while (exchange.isEmpty()) {
            exchange = connections.begin(request(client, address, method, uri, limit));
        }
        return new TargetExchange(exchange.get());
    }

    private HttpClientRequest request(
            GuardedHttpClient client, Address address, HttpMethod method, String uri, Duration limit) {
        Future<HttpClientRequest> future = client.request(new RequestOptions()
                        .setHost(address.host())
                        .setPort(address.port())
                        .setMethod(method)
                        .setURI(uri))
                // The futures of the exchange report failures; a request that is reset needs no second report.
                .onSuccess(request -> request.exceptionHandler(e -> {}));
        Duration wait = limit.compareTo(CONNECT_TIMEOUT) < 0 ? limit : CONNECT_TIMEOUT;
        try {
            return TimedAwait.await(future, wait);
        } catch (TimeoutException e) {
            future.onSuccess(HttpClientRequest::reset);
            throw notSent(address, "no connection within " + wait.toMillis() + " ms", e);
        } catch (Exception e) {
            throw notSent(address, "no connection: " + e.getMessage(), e);
        }
    }

    private static StepException notSent(Address address, String message, Exception cause) {
        return new StepException(Step.CONNECT, address.toString(), Outcome.NOT_RUN, message, cause);
    }
}
