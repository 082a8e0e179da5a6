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
import org.verbenatally.entry.key.KeyIssuer;
import org.verbenatally.entry.key.KeyedCallRunner;
import org.verbenatally.entry.key.KeyedCalls;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.LoadPoller;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.http.IdleConnections;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.settings.ListenerSettings;
import org.verbenatally.time.TimerService;

/** The HTTP server for callers. */
public final class CallerServer {
    /** Maximum number of verticles that share the port; each runs its requests on one context. */
    private static final int MAX_VERTICLES = 4;

    private static final int MAX_HEADER_BYTES = 8_192;
    private static final Duration TLS_CHECK_PERIOD = Duration.ofSeconds(10);
    private static final int MAX_REQUEST_LINE_BYTES = 4_096;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(75);

    private final Vertx vertx;
    private final CallerComponents components;
    private final KeyedCalls keyedCalls;
    private volatile long stopNanos;
    private volatile boolean hasStopTime;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.SERVING);
    private final AtomicInteger openRequests = new AtomicInteger();
    private final IdleConnections idleConnections;
    private volatile int port;

    private enum Phase {
        SERVING,
        REFUSING
    }

    /**
     * Creates a server that is not listening yet.
     *
     * @param vertx runs the verticles and timers
     * @param context context of a virtual-thread verticle; runs calls with idempotency keys
     * @param timer timer service
     * @param config configuration in force
     * @param dispatcher admission and routing
     * @param targets state of the targets
     * @param suspects requests suspected of crashing targets
     * @param clients clients of the targets
     * @param loads polls the targets' load reports
     * @param issuer issues idempotency keys
     * @param peers links to the other entries
     * @param streamKeys secrets that sign stream tokens, newest first
     * @param metrics metrics
     * @param log traces of recent requests
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
        this.idleConnections = new IdleConnections(timer, IDLE_TIMEOUT);
        this.components = new CallerComponents(
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
        KeyedCallRunner runner = new ServiceCalls(components, context);
        this.keyedCalls = new KeyedCalls(issuer, runner, peers, timer);
        metrics.registerGauge("verbenatally.open.requests", openRequests::get);
        metrics.registerGauge(
                "verbenatally.open.generations", () -> components.runs().count());
        metrics.registerGauge("verbenatally.used.keys", () -> keyedCalls.store().usedKeyCount());
        metrics.registerGauge("verbenatally.connections", idleConnections::count);
        idleConnections.start();
        timer.every(
                Duration.ofMinutes(1),
                tick -> config.deployment()
                        .ifPresent(d ->
                                components.limits().retain(d.organisations().keySet())));
    }

    /** Returns the handler of calls with idempotency keys. */
    public KeyedCalls keyedCalls() {
        return keyedCalls;
    }

    /** Starts listening; completes with the port, which the system chooses if the settings name port 0. */
    public Future<Integer> listen(ListenerSettings settings) {
        Optional<CallerTls> tls = Optional.ofNullable(settings.getTls()).map(CallerTls::new);
        tls.ifPresent(t -> components
                .timer()
                .every(TLS_CHECK_PERIOD, tick -> Thread.ofVirtual().start(t::reloadIfChanged)));
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
            CallerHandler handler = new CallerHandler(
                    components, keyedCalls, vertx, () -> phase.get() == Phase.SERVING, CallerServer.this::outlives);
            HttpServerOptions options = httpOptions();
            tls.ifPresent(t -> t.apply(options));
            HttpServer server = vertx.createHttpServer(options);
            tls.ifPresent(t -> t.addServer(server));
            server.connectionHandler(idleConnections::onOpened);
            server.requestHandler(request -> {
                if (!idleConnections.tryStartRequest(request.connection())) {
                    return;
                }
                openRequests.incrementAndGet();
                try {
                    handler.handle(request);
                } finally {
                    idleConnections.onRequestEnd(request.connection());
                    openRequests.decrementAndGet();
                }
            });
            // Vert.x reads a negative port as one free port that all instances of the verticle share.
            int listenPort = settings.getPort() == 0 ? -1 : settings.getPort();
            return server.listen(listenPort, settings.getHost()).onSuccess(s -> port = s.actualPort());
        }
    }

    private static HttpServerOptions httpOptions() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxFormAttributeSize(0)
                .setTcpNoDelay(true);
    }

    /** Returns the number of requests that are open now. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Returns the number of generations that are open now. */
    public int openGenerations() {
        return components.runs().count();
    }

    /**
     * Announces that this instance stops within a time. Calls of plain services that may take longer are refused from
     * now on, as nothing could continue them.
     */
    public void stopWithin(Duration time) {
        stopNanos = components.timer().nanos() + time.toNanos();
        hasStopTime = true;
    }

    private boolean outlives(long deadlineNanos) {
        return !hasStopTime || stopNanos - deadlineNanos >= 0;
    }

    /** Refuses new work from now on; calls with idempotency keys are still handled. */
    public void refuseNewWork() {
        phase.set(Phase.REFUSING);
    }

    /** Closes the connections of open streams, so that their callers resume at another entry. */
    public void closeStreams() {
        components.runs().stopAll(EngineRun.StopReason.RECONNECT);
    }
}
