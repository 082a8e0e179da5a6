package org.verbenatally.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;

import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.caller.CallerServer;
import org.verbenatally.entry.key.KeyIssuer;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.OperatorServer;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.LoadPoller;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.order.HttpEngineControl;
import org.verbenatally.order.OrderIssuer;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.PeerOptions;
import org.verbenatally.peer.PlatformInstance;
import org.verbenatally.peer.TcpPeerNetwork;
import org.verbenatally.policy.CrashLedger;
import org.verbenatally.policy.CrashReporter;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.settings.EntrySettings;
import org.verbenatally.time.SystemTimerService;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TraitReport;

/**
 * One entry instance, the facade of this module. It runs from {@link #start} until {@link #drain} or {@link #close}.
 */
public final class EntryServer implements AutoCloseable {
    private static final long START_TIMEOUT_SECONDS = 20;
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private final EntrySettings settings;
    private final Vertx vertx = Vertx.vertx();
    private final TimerService timer = new SystemTimerService();
    private final ConfigHolder<Deployment> config = new ConfigHolder<>();
    private final TargetTable targets = new TargetTable(timer);
    private final SuspectTable suspects = new SuspectTable(timer);
    private final CrashReporter crashes =
            new CrashReporter(new CrashLedger(timer, this::liveMembers), this::reportTraits);
    private final EntryMetrics metrics = new EntryMetrics();
    private final RequestLog log = new RequestLog();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Dispatcher dispatcher;
    private final AtomicBoolean closing = new AtomicBoolean();
    private volatile TcpPeerNetwork<Deployment> peers;
    private CallerServer callers;
    private StatusView status;
    private HttpEngineControl engines;
    private OrderIssuer orders;

    /**
     * The ports on which the server listens.
     *
     * @param callers port for callers
     * @param operator port for operators
     * @param peers port for peers
     */
    public record Ports(int callers, int operator, int peers) {}

    /** Creates a server without starting it. */
    public EntryServer(EntrySettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.dispatcher =
                new Dispatcher(timer, targets, suspects, crashes, new FailureDomain(settings.getFailureDomain()));
    }

    private int liveMembers() {
        TcpPeerNetwork<Deployment> p = peers;
        return p == null
                ? 1
                : (int) p.members().stream()
                        .filter(m -> m.status() == MemberInfo.Status.LIVE)
                        .count();
    }

    private void reportTraits(TraitReport report) {
        TcpPeerNetwork<Deployment> p = peers;
        if (p != null) {
            p.reportTraits(report);
        }
    }

    /**
     * Starts listening. The server becomes ready once it has a configuration.
     *
     * @return the ports on which the server listens
     * @throws java.util.concurrent.CompletionException if a port is in use or a startup step takes over 20 seconds
     */
    public Ports start() {
        Context context = createTaskContext();
        PeerBridge bridge = new PeerBridge(targets, suspects, crashes);
        peers = join(TcpPeerNetwork.start(PeerOptions.of(settings), vertx, timer, config, ConfigReader::read, bridge));
        TargetClients clients = new TargetClients(vertx);
        LoadPoller loads = new LoadPoller(clients, context, timer, config, targets, id -> peers.sendStateNow());
        callers = new CallerServer(
                vertx,
                context,
                timer,
                config,
                dispatcher,
                targets,
                suspects,
                clients,
                loads,
                new KeyIssuer(peers.self(), peers.incarnation(), timer::nanos),
                peers,
                settings.getStreamKeys(),
                metrics,
                log);
        bridge.setKeyedCalls(callers.keyedCalls());
        peers.addConfigListener(dispatcher::configure);
        peers.addInstancesListener(this::onInstances);
        loads.start();
        engines = new HttpEngineControl(vertx);
        orders = new OrderIssuer(peers.self(), peers::members, config, engines, timer);
        status = new StatusView(
                settings.getInstance(), config, peers, targets, callers, dispatcher, metrics, this::notReadyReason);
        OperatorServer operator = new OperatorServer(
                vertx,
                new OperatorServer.Components(
                        this::notReadyReason, status::status, status::errorBudget, metrics, log, this::drain));
        return new Ports(
                await(callers.listen(settings.getCallers())),
                await(operator.listen(settings.getOperator())),
                peers.address().port());
    }

    /** Updates the targets that the platform publishes as leaving, and reports new ones to the peers at once. */
    private void onInstances(List<PlatformInstance> instances) {
        Set<TargetId> published = instances.stream()
                .filter(instance -> instance.role() != PlatformInstance.Role.ENTRY && instance.leaving())
                .map(instance -> new TargetId(instance.id()))
                .collect(Collectors.toSet());
        boolean hasNewLeaving = !targets.firstHandLeaving().containsAll(published);
        targets.setPublishedLeaving(published);
        if (hasNewLeaving) {
            peers.sendStateNow();
        }
    }

    /** Creates the context of a virtual-thread verticle, on which tasks may block. */
    private Context createTaskContext() {
        CompletableFuture<Context> contextFuture = new CompletableFuture<>();
        await(vertx.deployVerticle(
                () -> new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        contextFuture.complete(context);
                        return Future.succeededFuture();
                    }
                },
                new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD)));
        return contextFuture.join();
    }

    private static <T> T await(Future<T> future) {
        return join(future.toCompletionStage().toCompletableFuture());
    }

    private static <T> T join(CompletableFuture<T> future) {
        return future.orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    private Optional<String> notReadyReason() {
        return draining.get() ? Optional.of("this entry is stopping") : peers.notReadyReason();
    }

    /** Starts a graceful shutdown unless one is in progress; the future completes when the server has stopped. */
    public CompletableFuture<Void> drain() {
        if (draining.compareAndSet(false, true)) {
            Thread.ofPlatform().name("drain").start(this::shutDown);
        }
        return stopped;
    }

    private void shutDown() {
        try {
            new GracefulShutdown(callers, peers, Duration.ofSeconds(settings.getDrainSeconds())).run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            close();
        }
    }

    /** Returns a future that completes when the server has stopped. */
    public CompletableFuture<Void> closeFuture() {
        return stopped;
    }

    /** Stops the server at once, without a graceful shutdown. */
    @Override
    public void close() {
        if (!closing.compareAndSet(false, true)) {
            return;
        }
        dispatcher.close();
        if (orders != null) {
            orders.close();
            engines.close();
        }
        // A task that is still waiting must not prevent the process from ending.
        stopped.completeOnTimeout(null, 2 * CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        CompletableFuture<Void> peersClosed = peers == null ? CompletableFuture.completedFuture(null) : peers.close();
        peersClosed.orTimeout(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS).whenComplete((v, e) -> {
            // Timer tasks must not run on closed contexts.
            timer.close();
            vertx.close().onComplete(done -> stopped.complete(null));
        });
    }
}
