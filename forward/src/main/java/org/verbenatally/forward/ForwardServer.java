package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.DocumentReader;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.ServiceName;
import org.verbenatally.forward.admission.MemoryReservations;
import org.verbenatally.forward.cold.ColdAllowance;
import org.verbenatally.forward.cold.ColdTargetLimiter;
import org.verbenatally.forward.cold.ColdTargets;
import org.verbenatally.forward.cold.KnownMembers;
import org.verbenatally.forward.evacuation.EvacuationTable;
import org.verbenatally.forward.pause.RequestedPauses;
import org.verbenatally.forward.relay.RelayPeers;
import org.verbenatally.forward.speed.ServiceModel;
import org.verbenatally.forward.speed.SpeedModels;
import org.verbenatally.http.IdleConnections;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.TcpPeerNetwork;
import org.verbenatally.policy.CrashLedger;
import org.verbenatally.policy.CrashReporter;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.DomainEvacuation;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TraitReport;

/**
 * One forwarding instance: the facade of this module. Its configuration is offered with {@link #offerConfig}, its
 * targets through the {@link #directory}.
 */
public final class ForwardServer {
    private static final Logger LOG = Logger.getLogger(ForwardServer.class);
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int OK = 200;
    private static final Duration CLOSE_TIMEOUT = Duration.ofMillis(100);
    /** Interval at which the members that cold targets are divided among are read. */
    private static final Duration MEMBERS_INTERVAL = Duration.ofMillis(500);

    private final ForwardOptions options;
    private final Vertx vertx;
    private final TimerService timer;
    private final ConfigHolder<ForwardDeployment> config = new ConfigHolder<>();
    private final TargetDirectory directory;
    private final Evacuations evacuations;
    private final ForwardMetrics metrics = new ForwardMetrics();
    private final Shutdown shutdown;
    private final IdleConnections connections;
    private final ForwardComponents components;
    private final KnownMembers knownMembers;
    private final LongAdder coldSkips = new LongAdder();
    private volatile boolean hasSeeds;
    /** Number of live instances when it was last read, for decisions that need no present count. */
    private volatile int recentMembers = 1;

    private volatile TcpPeerNetwork<ForwardDeployment> peers;
    private final RelayPeers relayPeers;
    private volatile HttpServer callerServer;

    /**
     * Creates an instance that does not listen yet.
     *
     * @param options options of the instance
     * @param vertx runs its connections
     * @param timer its timer service
     * @param codec translates the heads of messages
     */
    public ForwardServer(ForwardOptions options, Vertx vertx, TimerService timer, HttpMessageCodec codec) {
        this(options, vertx, timer, codec, new BodyMemory());
    }

    ForwardServer(
            ForwardOptions options,
            Vertx vertx,
            TimerService timer,
            HttpMessageCodec codec,
            BodyMemory responseMemory) {
        this.options = Objects.requireNonNull(options, "options");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.timer = Objects.requireNonNull(timer, "timer");
        EvacuationTable table = new EvacuationTable(options.evacuationBound());
        this.directory = new TargetDirectory(timer, this::publishToPeers, this::reportLoadsChanged, table);
        this.evacuations = new Evacuations(timer, table, directory, this::publishEvacuations);
        this.shutdown = new Shutdown(timer, options.grace());
        this.connections = new IdleConnections(timer, options.idleTimeout());
        this.relayPeers = new RelayPeers(
                timer,
                this::members,
                options.peers().instance(),
                options.peers().failureDomain());
        TargetProbe probe = new TargetProbe(vertx, timer, directory::isEvacuated);
        this.hasSeeds = !options.peers().seeds().isEmpty();
        this.knownMembers = new KnownMembers(timer, options.peers().instance(), () -> hasSeeds);
        ColdTargetLimiter coldTargets = coldTargetLimiter();
        RequestedPauses pauses = new RequestedPauses(timer);
        SendGate gate = new SendGate(coldTargets, pauses, metrics);
        ReachabilityMonitor reachability =
                new ReachabilityMonitor(timer, directory, probe::check, gate::wantsRequests, gate::onReachableAgain);
        SpeedModels speeds = new SpeedModels(!options.equalSpeeds(), this::registerModelGauges);
        SpeedMonitor speedMonitor = new SpeedMonitor(timer, directory);
        this.components = new ForwardComponents(
                timer,
                directory,
                new TargetChooser(
                        timer, directory, options.peers().failureDomain(), speeds, gate::maySend, () -> recentMembers),
                speeds,
                new WaitQueue(timer),
                new MemoryReservations(timer),
                () -> recentMembers,
                new TargetClient(vertx, this::liveMembers),
                codec,
                new RetryAllowance(timer, options.retryRule(), this::liveMembers),
                new CrashDetector(
                        new CrashReporter(new CrashLedger(timer, this::liveMembers), this::reportTraits),
                        directory,
                        timer,
                        probe,
                        metrics),
                reachability,
                probe,
                new BodyMemory(),
                responseMemory,
                gate,
                metrics);
        directory.onChange(components.waitQueue()::wake);
        registerGauges(speedMonitor, coldTargets, pauses);
        if (speeds.isEnabled()) {
            speedMonitor.start();
        }
    }

    private ColdTargetLimiter coldTargetLimiter() {
        ColdTargetLimiter limiter = new ColdTargetLimiter(
                new ColdTargets(timer),
                new ColdAllowance(timer, knownMembers),
                options.coldMargin(),
                service -> config.deployment().flatMap(d -> d.service(service)).flatMap(ServiceSpec::coldLimit),
                coldSkips::increment);
        directory.onPublication(limiter.targets()::onPublished);
        evacuations.onReturn(targets -> targets.stream()
                .map(ForwardTarget::failureDomain)
                .distinct()
                .forEach(limiter.targets()::onDomainReturned));
        return limiter;
    }

    private void registerGauges(SpeedMonitor speedMonitor, ColdTargetLimiter coldTargets, RequestedPauses pauses) {
        metrics.registerGauge("verbenatally.open.requests", shutdown::openRequests);
        metrics.registerGauge("verbenatally.config.version", this::version);
        metrics.registerGauge(
                "verbenatally.waiting", () -> components.waitQueue().size());
        metrics.registerGauge(
                "verbenatally.reserved.tokens", () -> components.reservations().reservedTokens());
        metrics.registerGauge(
                "verbenatally.body.bytes", () -> components.bodyMemory().reserved());
        metrics.registerGauge(
                "verbenatally.response.bytes", () -> components.responseMemory().reserved());
        metrics.registerGauge(
                "verbenatally.sends.first", () -> components.retryAllowance().firstSends());
        metrics.registerGauge(
                "verbenatally.sends.retries", () -> components.retryAllowance().retries());
        metrics.registerGauge("verbenatally.target.requests", () -> directory.sumOfStates(TargetState::ownRequests));
        metrics.registerGauge(
                "verbenatally.quarantined", () -> components.crashDetector().quarantinedCount());
        metrics.registerGauge("verbenatally.target.copies", () -> directory.sumOfStates(TargetState::ownCopies));
        metrics.registerGauge("verbenatally.evacuated.domains", evacuations::evacuatedCount);
        metrics.registerGauge("verbenatally.members", this::liveMembers);
        metrics.registerGauge("verbenatally.cold.skips", coldSkips::sum);
        metrics.registerGauge("verbenatally.cold.targets", () -> directory.countCandidates(coldTargets::isLimited));
        metrics.registerGauge("verbenatally.targets.paused", pauses::pausedCount);
        metrics.registerGauge("verbenatally.targets.slow", speedMonitor::slowTargets);
        metrics.registerGauge("verbenatally.targets.fast", speedMonitor::fastTargets);
        metrics.registerGauge("verbenatally.connections", connections::count);
        metrics.registerGauge(
                "verbenatally.services.unreachable",
                () -> components.reachability().cutOffCount());
        metrics.registerGauge("verbenatally.relay.sent", relayPeers::openCount);
    }

    private void registerModelGauges(ServiceName service, ServiceModel model) {
        metrics.registerGauge("verbenatally.read.tokens.per.ms", service, model::readRate);
        metrics.registerGauge("verbenatally.event.ms", service, () -> model.eventMs(1, 0));
        metrics.registerGauge("verbenatally.call.ms", service, model::callMs);
    }

    private void publishToPeers(List<PublishedTarget> targets) {
        TcpPeerNetwork<ForwardDeployment> p = peers;
        if (p != null) {
            p.publishTargets(targets);
        }
    }

    private void publishEvacuations(List<DomainEvacuation> records) {
        TcpPeerNetwork<ForwardDeployment> p = peers;
        if (p != null) {
            p.publishEvacuations(records);
        }
    }

    private void reportTraits(TraitReport report) {
        TcpPeerNetwork<ForwardDeployment> p = peers;
        if (p != null) {
            p.reportTraits(report);
        }
    }

    private void reportLoadsChanged() {
        TcpPeerNetwork<ForwardDeployment> p = peers;
        if (p != null) {
            p.onLoadsChanged();
        }
    }

    private List<MemberInfo> members() {
        TcpPeerNetwork<ForwardDeployment> p = peers;
        return p == null ? List.of() : p.members();
    }

    /** Returns the number of live instances, this one included. */
    public int liveMembers() {
        return peers == null
                ? 1
                : (int) members().stream()
                        .filter(m -> m.status() == MemberInfo.Status.LIVE)
                        .count();
    }

    /**
     * Starts listening.
     *
     * @param reader reads the configurations that are offered
     * @throws java.util.concurrent.CompletionException if an address is taken or the start takes too long
     */
    public void start(DocumentReader<ForwardDeployment> reader) {
        // Listens before a configuration is known: callers that wait here for one are served sooner than by a retry.
        await(vertx.deployVerticle(
                CallerVerticle::new, new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD)));
        await(vertx.deployVerticle(
                ReadinessVerticle::new, new DeploymentOptions().setThreadingModel(ThreadingModel.EVENT_LOOP)));
        connections.start();
        peers = join(TcpPeerNetwork.start(
                options.peers(),
                vertx,
                timer,
                config,
                reader,
                new ForwardPeers(directory, components.crashDetector(), evacuations)));
        timer.every(MEMBERS_INTERVAL, tick -> updateKnownMembers());
        if (options.relayPort().isPresent()) {
            components.reachability().start();
            await(vertx.deployVerticle(
                    RelayVerticle::new, new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD)));
        }
        peers.addConfigListener(d -> LogEvent.of("config.inForce")
                .with("version", d.version().value())
                .with("routes", d.routeCount())
                .info(LOG));
        LogEvent.of("instance.started")
                .with("instance", options.peers().instance())
                .with("callers", options.callerAddress())
                .info(LOG);
    }

    private void updateKnownMembers() {
        recentMembers = liveMembers();
        knownMembers.update(peers.members().stream()
                .filter(member -> member.status() != MemberInfo.Status.GONE)
                .map(MemberInfo::instance)
                .toList());
    }

    private static <T> T await(Future<T> future) {
        return join(future.toCompletionStage().toCompletableFuture());
    }

    private static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /**
     * Applies changed options. Seeds, the grace period and the retry rule change at once, the rest at the next start.
     */
    public void reload(ForwardOptions next) {
        peers.setSeeds(next.peers().seeds());
        hasSeeds = !next.peers().seeds().isEmpty();
        shutdown.setGrace(next.grace());
        components.retryAllowance().setRule(next.retryRule());
        LogEvent.of("instance.reloaded")
                .with("seeds", next.peers().seeds())
                .with("graceMs", next.grace().toMillis())
                .with("repeats", next.retryRule())
                .info(LOG);
    }

    /**
     * Offers a configuration, which is put in force if it is valid and higher than the present one. Returns whether it
     * is valid.
     */
    public boolean offerConfig(String source, byte[] body) {
        return peers.offerConfig(source, body);
    }

    /** Returns the version of the configuration in force, 0 if there is none. */
    long version() {
        return config.deployment().map(d -> d.version().value()).orElse(0L);
    }

    /** Returns the directory of targets. */
    public TargetDirectory directory() {
        return directory;
    }

    /** Returns what follows the evacuations of failure domains. */
    public Evacuations evacuations() {
        return evacuations;
    }

    /** Returns the metrics. */
    public ForwardMetrics metrics() {
        return metrics;
    }

    /** Returns why the instance must get no new connections, or empty if it is ready. */
    public Optional<String> notReadyReason() {
        if (shutdown.isStopping()) {
            return Optional.of("stopping");
        }
        if (config.deployment().isEmpty()) {
            return Optional.of("no configuration is in force");
        }
        return directory.isKnown() ? Optional.empty() : Optional.of("no targets or evacuations are known");
    }

    /** Starts a graceful shutdown; completes when all connections of callers are closed and the process may end. */
    public CompletableFuture<Void> stop() {
        peers.announceLeaving();
        return shutdown.start().thenCompose(v -> closeCallers());
    }

    /**
     * Closes the listener of callers and their connections. A process takes some hundred milliseconds to end, during
     * which it would still receive requests, but read none.
     */
    private CompletableFuture<Void> closeCallers() {
        return callerServer
                .close()
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .exceptionally(e -> {
                    LOG.warnf("caller: the connections were not closed in time: %s", e.getMessage());
                    return null;
                });
    }

    private final class CallerVerticle extends VerticleBase {
        @Override
        public Future<?> start() {
            Context ownContext = context;
            ForwardHandler handler = new ForwardHandler(
                    components, config::deployment, shutdown, ownContext, options.idleTimeout(), relay());
            callerServer = vertx.createHttpServer(serverOptions())
                    .connectionHandler(connections::onOpened)
                    .requestHandler(request -> {
                        request.pause();
                        if (!connections.tryStartRequest(request.connection())) {
                            return;
                        }
                        try {
                            handler.handle(request);
                        } finally {
                            connections.onRequestEnd(request.connection());
                        }
                    });
            return callerServer.listen(
                    options.callerAddress().port(), options.callerAddress().host());
        }
    }

    private Relay relay() {
        return options.relayPort()
                .<Relay>map(port -> new PeerRelay(components, relayPeers, port, this::configVersion))
                .orElse(Relay.NONE);
    }

    private ConfigVersion configVersion() {
        return new ConfigVersion(version());
    }

    /** Accepts the requests that other instances pass on. */
    private final class RelayVerticle extends VerticleBase {
        @Override
        public Future<?> start() {
            RelayHandler handler = new RelayHandler(
                    new ForwardHandler(
                            components, config::deployment, shutdown, context, options.idleTimeout(), Relay.NONE),
                    relayPeers::isMember,
                    components.reachability()::isCutOff,
                    ForwardServer.this::configVersion,
                    shutdown);
            metrics.registerGauge("verbenatally.relay.accepted", handler::openCount);
            return vertx.createHttpServer(serverOptions())
                    .requestHandler(request -> {
                        request.pause();
                        handler.handle(request);
                    })
                    .listen(options.relayPort().orElseThrow(), options.peers().host());
        }
    }

    private static HttpServerOptions serverOptions() {
        return new HttpServerOptions()
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                .setHandle100ContinueAutomatically(true)
                .setTcpNoDelay(true)
                // A server that waits for the first bytes to learn the protocol does not report silent connections,
                // which could then never be closed.
                .setHttp2ClearTextEnabled(false)
                // Leaves out the handlers that inspect each message for WebSocket extensions.
                .setPerFrameWebSocketCompressionSupported(false)
                .setPerMessageWebSocketCompressionSupported(false);
    }

    private final class ReadinessVerticle extends VerticleBase {
        @Override
        public Future<?> start() {
            Future<?> ready = vertx.createHttpServer()
                    .requestHandler(this::respond)
                    .listen(
                            options.readinessAddress().port(),
                            options.readinessAddress().host());
            Future<?> scrape = options.metricsAddress().isEmpty()
                    ? Future.succeededFuture()
                    : vertx.createHttpServer()
                            .requestHandler(request -> request.response().end(metrics.scrape()))
                            .listen(
                                    options.metricsAddress().get().port(),
                                    options.metricsAddress().get().host());
            return Future.all(ready, scrape);
        }

        private void respond(HttpServerRequest request) {
            int status = CallerExchange.NOT_FOUND;
            if (request.path().equals(options.readinessPath())) {
                status = notReadyReason().isEmpty() ? OK : CallerExchange.UNAVAILABLE;
            }
            request.response().setStatusCode(status).end();
        }
    }
}
