package org.verbenatally.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.ThreadingModel;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.entry.caller.CallerServer;
import org.verbenatally.entry.key.KeyIssuer;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.OperatorServer;
import org.verbenatally.entry.operator.RequestLog;
import org.verbenatally.entry.target.TargetClients;
import org.verbenatally.peer.PeerNetwork;
import org.verbenatally.policy.Dispatcher;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.TargetTable;
import org.verbenatally.settings.EntrySettings;
import org.verbenatally.time.SystemTimerService;
import org.verbenatally.time.TimerService;

/** One entry instance: the facade of this module. Start it, and stop it with {@link #drain} or {@link #close}. */
public final class EntryServer implements AutoCloseable {
    private static final long START_TIMEOUT_SECONDS = 20;

    private final EntrySettings settings;
    private final Vertx vertx = Vertx.vertx();
    private final TimerService timer = new SystemTimerService();
    private final ConfigHolder config = new ConfigHolder();
    private final TargetTable targets = new TargetTable(timer);
    private final SuspectTable suspects = new SuspectTable(timer);
    private final EntryMetrics metrics = new EntryMetrics();
    private final RequestLog log = new RequestLog();
    private final AtomicBoolean draining = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Dispatcher dispatcher;
    private PeerNetwork peers;
    private CallerServer callers;
    private Ports ports;

    /**
     * Where the server listens.
     *
     * @param callers port for callers
     * @param operator port for operators
     * @param peers port for peers
     */
    public record Ports(int callers, int operator, int peers) {}

    /** Creates a server that is not started. */
    public EntryServer(EntrySettings settings) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.dispatcher = new Dispatcher(timer, targets, suspects, new FailureDomain(settings.getFailureDomain()));
    }

    /** Starts to listen and returns the ports; the server becomes ready once it has a configuration. */
    public Ports start() {
        Context context = taskContext();
        InstanceId self = new InstanceId(settings.getInstance());
        Incarnation run = Incarnation.startedAt(timer.epochMillis());
        peers = new LoneNetwork(self, run);
        callers = new CallerServer(
                vertx,
                context,
                timer,
                config,
                dispatcher,
                targets,
                suspects,
                new TargetClients(vertx),
                new KeyIssuer(self, run, timer::nanos),
                peers,
                settings.getStreamKeys(),
                metrics,
                log);
        new PlatformReader(vertx, settings.getPlatform(), config, this::configured).start(context);
        OperatorServer operator = new OperatorServer(
                vertx,
                new OperatorServer.Views(this::notReady, this::status, JsonObject::new, metrics, log, () -> drain()));
        ports = new Ports(
                await(callers.listen(settings.getCallers())), await(operator.listen(settings.getOperator())), 0);
        return ports;
    }

    private Context taskContext() {
        CompletableFuture<Context> found = new CompletableFuture<>();
        await(vertx.deployVerticle(
                () -> new VerticleBase() {
                    @Override
                    public Future<?> start() {
                        found.complete(context);
                        return Future.succeededFuture();
                    }
                },
                new DeploymentOptions().setThreadingModel(ThreadingModel.VIRTUAL_THREAD)));
        return found.join();
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(START_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private void configured() {
        config.deployment().ifPresent(dispatcher::configure);
    }

    private Optional<String> notReady() {
        if (draining.get()) {
            return Optional.of("this entry is stopping");
        }
        return config.deployment().isPresent() ? Optional.empty() : Optional.of("there is no configuration yet");
    }

    private JsonObject status() {
        return new JsonObject()
                .put("instance", settings.getInstance())
                .put(
                        "configVersion",
                        config.deployment()
                                .map(Deployment::version)
                                .map(v -> v.value())
                                .orElse(0L))
                .put("openRequests", callers.open())
                .put("openGenerations", callers.generations());
    }

    /** Starts a graceful shutdown; completes when the server has stopped. */
    public CompletableFuture<Void> drain() {
        if (draining.compareAndSet(false, true)) {
            timer.after(Duration.ofSeconds(3), this::close);
        }
        return stopped;
    }

    /** Returns a future that completes when the server has stopped. */
    public CompletableFuture<Void> drained() {
        return stopped;
    }

    /** Stops at once. */
    @Override
    public void close() {
        dispatcher.close();
        vertx.close().onComplete(done -> {
            timer.close();
            stopped.complete(null);
        });
    }
}
