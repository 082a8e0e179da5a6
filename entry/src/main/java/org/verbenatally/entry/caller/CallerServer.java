package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.entry.key.CallRunner;
import org.verbenatally.entry.key.KeyIssuer;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.LoadPoller;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.settings.ListenerSettings;
import org.verbenatally.time.TimerService;

/** The callers' HTTP server. */
public final class CallerServer {
    /** Verticles that share the port; each runs its requests on one context. */
    private static final int MAX_VERTICLES = 4;

    private static final int MAX_HEADER_BYTES = 8_192;
    private static final Duration TLS_CHECK = Duration.ofSeconds(10);
    private static final int MAX_LINE_BYTES = 4_096;

    private final Vertx vertx;
    private final CallerParts parts;
    private final KeyedCalls keyedCalls;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    private final AtomicInteger open = new AtomicInteger();
    private final IdleConnections idle = new IdleConnections();
    private volatile int port;

    private enum Phase {
        SERVING,
        REFUSING
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs the tasks
     * @param context context of a virtual-thread verticle; runs keyed calls
     * @param timer timer service
     * @param config configuration in force
     * @param dispatcher admission and routing
     * @param targets target table
     * @param suspects suspect table
     * @param clients clients of targets
     * @param loads reads load reports
     * @param issuer issues idempotency keys
     * @param peers links to other entries
     * @param streamKeys secrets that sign stream tokens, the newest first
     * @param metrics metrics
     * @param log traces of the latest requests
     */
    public CallerServer(
            Vertx vertx,
            Context context,
            TimerService timer,
            ConfigHolder<Deployment> config,
            Dispatcher dispatcher,
            TargetTable targets,
            SuspectTable suspects,
            TargetClients clients,
            LoadPoller loads,
            KeyIssuer issuer,
            PeerNetwork peers,
            List<String> streamKeys,
            EntryMetrics metrics,
            RequestLog log) {
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.parts = new CallerParts(
                timer,
                config,
                dispatcher,
                targets,
                suspects,
                clients,
                loads,
                peers,
                new StreamTokens(streamKeys),
                metrics,
                log,
                new OrganisationLimits(),
                new LiveRuns());
        CallRunner runner = new ServiceCalls(parts, context);
        this.keyedCalls = new KeyedCalls(issuer, runner, peers, timer);
        metrics.gauge("verbenatally.open.requests", open::get);
        metrics.gauge("verbenatally.open.generations", () -> parts.runs().count());
        metrics.gauge("verbenatally.used.keys", () -> keyedCalls.store().used());
        metrics.gauge("verbenatally.connections", idle::count);
        timer.every(Duration.ofSeconds(5), tick -> idle.closeIdle());
        timer.every(
                Duration.ofMinutes(1),
                tick -> config.deployment()
                        .ifPresent(d -> parts.limits().retain(d.organisations().keySet())));
    }

    /** Returns the calls with idempotency keys. */
    public KeyedCalls keyedCalls() {
        return keyedCalls;
    }

    /** Starts to listen; completes with the port. */
    public Future<Integer> listen(ListenerSettings settings) {
        Optional<CallerTls> tls = Optional.ofNullable(settings.getTls()).map(CallerTls::new);
        tls.ifPresent(t ->
                parts.timer().every(TLS_CHECK, tick -> Thread.ofVirtual().start(t::reloadIfChanged)));
        int verticles = Math.clamp(Runtime.getRuntime().availableProcessors(), 1, MAX_VERTICLES);
        DeploymentOptions options = new DeploymentOptions()
                .setThreadingModel(ThreadingModel.VIRTUAL_THREAD)
                .setInstances(verticles);
        return vertx.deployVerticle(() -> new Verticle(settings, tls), options).map(id -> port);
    }

    private final class Verticle extends VerticleBase {
        private final ListenerSettings settings;
        private final Optional<CallerTls> tls;

        Verticle(ListenerSettings settings, Optional<CallerTls> tls) {
            this.settings = settings;
            this.tls = tls;
        }

        @Override
        public Future<?> start() {
            CallerHandler handler = new CallerHandler(parts, keyedCalls, vertx, () -> phase.get() == Phase.SERVING);
            HttpServerOptions options = options();
            tls.ifPresent(t -> t.apply(options));
            HttpServer server = vertx.createHttpServer(options);
            tls.ifPresent(t -> t.add(server));
            server.connectionHandler(idle::opened);
            server.requestHandler(request -> {
                open.incrementAndGet();
                idle.begin(request.connection());
                try {
                    handler.handle(request);
                } finally {
                    idle.end(request.connection());
                    open.decrementAndGet();
                }
            });
            // A negative port is a free one that all instances of the verticle share.
            int wanted = settings.getPort() == 0 ? -1 : settings.getPort();
            return server.listen(wanted, settings.getHost()).onSuccess(s -> port = s.actualPort());
        }
    }

    private static HttpServerOptions options() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxFormAttributeSize(0)
                .setTcpNoDelay(true);
    }

    /** Returns the requests that are open now. */
    public int open() {
        return open.get();
    }

    /** Returns the generations that are open now. */
    public int generations() {
        return parts.runs().count();
    }

    /** Refuses new requests from now on. */
    public void refuse() {
        phase.set(Phase.REFUSING);
    }

    /** Ends the connections of open streams, so that their callers resume at another entry. */
    public void reconnectAll() {
        parts.runs().stopAll(EngineRun.Stop.RECONNECT);
    }
}
