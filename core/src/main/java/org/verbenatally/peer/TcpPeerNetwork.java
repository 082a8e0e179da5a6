package org.verbenatally.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import org.jboss.logging.Logger;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.DocumentReader;
import org.verbenatally.config.VersionedDeployment;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.peer.FrameCodec.BadFrameException;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.time.TimerService.Subscription;
import org.verbenatally.wire.DomainEvacuation;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.MemberState;
import org.verbenatally.wire.PeerFrame;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TraitReport;

/**
 * The peer network of an entry process over TCP: membership, state exchange, forwarding and configuration propagation.
 * Started with {@link #start}.
 *
 * @param <D> the kind of deployment document that the peers pass on
 */
public final class TcpPeerNetwork<D extends VersionedDeployment> implements PeerNetwork {
    private static final Logger LOG = Logger.getLogger(TcpPeerNetwork.class);

    /**
     * Maximum number of listed peers that a starting instance asks for their configuration version. Even without the
     * platform, this many peers cannot all be out of date for long.
     */
    private static final int MAX_QUERIED_PEERS = 64;

    /** How long changes are collected before they are sent in one frame. */
    private static final Duration FLUSH_DELAY = Duration.ofMillis(10);

    /** How long changes of loads are collected in a fully meshed fleet. */
    private static final Duration LOAD_DELAY = Duration.ofMillis(5);

    /**
     * Loads and members change more often the larger the fleet is. In a larger fleet changes are collected for this
     * long per member, which keeps the number of frames that an instance sends per second constant.
     */
    private static final Duration DELAY_PER_MEMBER = Duration.ofMillis(4);

    private static final CompletableFuture<Void> COMPLETED = CompletableFuture.completedFuture(null);

    private final PeerOptions options;
    private final Run self;
    private final TimerService timers;
    private final PeerHandler handler;
    private final Membership membership;
    private final Links links;
    private final GossipExchange gossipExchange;
    private final ConfigPropagator<D> propagator;
    private final Forwarder forwarder;
    private final Optional<PlatformReader> platform;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private final AtomicBoolean changesFlushScheduled = new AtomicBoolean();
    private final AtomicBoolean targetsFlushScheduled = new AtomicBoolean();
    private final AtomicBoolean loadsFlushScheduled = new AtomicBoolean();
    private final AtomicBoolean ownLoadsChanged = new AtomicBoolean();
    private volatile boolean startupQueryDone;

    /**
     * Completed when the peer at an address has reported its configuration version on any link; used at startup only.
     */
    private final Map<Address, CompletableFuture<Void>> versionReports = new ConcurrentHashMap<>();

    private long nextRound;

    private TcpPeerNetwork(
            PeerOptions options,
            Vertx vertx,
            NetServer server,
            Links.Dialer dialer,
            TimerService timers,
            ConfigHolder<D> config,
            DocumentReader<D> reader,
            PeerHandler handler) {
        this.options = options;
        this.timers = timers;
        this.handler = handler;
        nextRound = timers.nanos();
        self = new Run(options.instance(), Incarnation.startedAt(timers.epochMillis()));
        var own = new MemberRecord(
                self,
                options.advertised().orElseGet(() -> new Address(options.host(), server.actualPort())),
                options.failureDomain(),
                options.region(),
                MemberState.LIVE,
                1,
                config.deployment().map(VersionedDeployment::version).orElse(ConfigVersion.NONE),
                Optional.empty());
        membership = new Membership(own, options.timings(), timers);
        links = new Links(options, self, membership, timers, dialer, server, new FrameListener());
        gossipExchange = new GossipExchange(options.timings(), membership, timers, config, handler);
        propagator = new ConfigPropagator<>(options, timers, config, reader, document -> {
            membership.setConfigVersion(document.deployment().version());
            scheduleFlush();
        });
        forwarder = new Forwarder(self, membership, links, timers, handler);
        platform = options.platform()
                .map(address ->
                        new PlatformReader(options, new PlatformClient(vertx, address), propagator, membership));
    }

    /**
     * Listens for peers, connects to the known ones and asks them and the platform for the configuration.
     *
     * @param options identity, addresses and timings of this instance
     * @param vertx runs the connections
     * @param timers the process's timer service
     * @param config holder in which accepted documents are put in force
     * @param reader reads the documents that the platform and the peers offer
     * @param handler supplies the state of the entry process and receives that of its peers
     * @param <D> the kind of deployment document
     * @return the running network; fails with a {@link StepException} at step {@code CONNECT} if the port is taken
     */
    public static <D extends VersionedDeployment> CompletableFuture<TcpPeerNetwork<D>> start(
            PeerOptions options,
            Vertx vertx,
            TimerService timers,
            ConfigHolder<D> config,
            DocumentReader<D> reader,
            PeerHandler handler) {
        NetClient client = vertx.createNetClient(PeerTls.client(options));
        return start(options, vertx, a -> client.connect(a.port(), a.host()), timers, config, reader, handler);
    }

    static <D extends VersionedDeployment> CompletableFuture<TcpPeerNetwork<D>> start(
            PeerOptions options,
            Vertx vertx,
            Links.Dialer dialer,
            TimerService timers,
            ConfigHolder<D> config,
            DocumentReader<D> reader,
            PeerHandler handler) {
        Objects.requireNonNull(handler, "handler");
        var result = new CompletableFuture<TcpPeerNetwork<D>>();
        var peers = new CompletableFuture<TcpPeerNetwork<D>>();
        NetServer server = vertx.createNetServer(PeerTls.server(options));
        // Connections that arrive before the object is complete are closed; the peer dials again.
        server.connectHandler(socket -> {
            if (peers.isDone()) {
                peers.join().links.accept(socket);
            } else {
                socket.close();
            }
        });
        server.listen(options.port(), options.host()).onComplete(listening -> {
            if (listening.failed()) {
                result.completeExceptionally(new StepException(
                        Step.CONNECT,
                        options.host() + ":" + options.port(),
                        Outcome.NOT_RUN,
                        "cannot listen for peers: " + listening.cause().getMessage(),
                        listening.cause()));
                return;
            }
            TcpPeerNetwork<D> p = new TcpPeerNetwork<>(options, vertx, server, dialer, timers, config, reader, handler);
            peers.complete(p);
            p.run();
            result.complete(p);
        });
        return result;
    }

    private void run() {
        LOG.infof("peer: %s (run %s) listens on %s", self.instance(), self.incarnation(), address());
        subscriptions.add(timers.onPause(lost -> links.restartSilenceTimeouts()));
        subscriptions.add(timers.every(options.timings().gossipPeriod(), tick -> tick()));
        platform.ifPresent(p -> p.addListener(list -> links.setHints(list.stream()
                .filter(i -> i.role() == PlatformInstance.Role.ENTRY)
                .flatMap(i -> i.peerAddress().stream())
                .toList())));
        Thread.ofVirtual().name("start-" + self.instance()).start(this::querySources);
    }

    /**
     * Asks the platform and the known peers for the configuration, each for a bounded time. The instance is ready only
     * after that.
     */
    private void querySources() {
        long boundNanos = options.timings().startupQueryTimeout().toNanos();
        var listRead = CompletableFuture.runAsync(
                () -> platform.ifPresent(p -> runInterruptibly(p::readInstancesOnce)),
                TcpPeerNetwork::startVirtualThread);
        var seeds = options.seeds().stream().map(this::query);
        var firstQueries = CompletableFuture.allOf(java.util.stream.Stream.concat(
                        seeds,
                        java.util.stream.Stream.of(
                                listRead,
                                CompletableFuture.runAsync(
                                        () -> platform.ifPresent(p -> runInterruptibly(p::readConfigOnce)),
                                        TcpPeerNetwork::startVirtualThread)))
                .toArray(CompletableFuture[]::new));
        await(firstQueries, boundNanos);
        List<Address> listed = links.knownAddresses();
        listed.removeAll(options.seeds());
        Collections.shuffle(listed, new java.util.Random(options.seed()));
        await(
                CompletableFuture.allOf(listed.stream()
                        .limit(MAX_QUERIED_PEERS)
                        .map(this::query)
                        .toArray(CompletableFuture[]::new)),
                boundNanos);
        long until = timers.nanos() + boundNanos;
        while (propagator.isFetching() && timers.nanos() - until < 0) {
            runInterruptibly(() -> TimeUnit.MILLISECONDS.sleep(FLUSH_DELAY.toMillis()));
        }
        propagator.start();
        startupQueryDone = true;
        versionReports.clear();
        platform.ifPresent(PlatformReader::start);
    }

    /** Replaces the seed addresses. Each is dialled as long as no known member listens on it. */
    public void setSeeds(List<Address> addresses) {
        links.setSeeds(addresses);
    }

    /** Completes when the peer at an address has reported its configuration version or cannot be reached. */
    private CompletableFuture<Void> query(Address address) {
        CompletableFuture<Void> report = versionReport(address);
        links.dial(address, false)
                .thenCompose(link -> self.equals(link.peer()) ? COMPLETED : link.firstGossip)
                .whenComplete((v, e) -> {
                    // A peer that was reached may have closed this link because it keeps another one to this instance;
                    // it reports its version on that one.
                    if (e == null || Links.isUnreachable(e)) {
                        report.complete(null);
                    }
                });
        return report;
    }

    private CompletableFuture<Void> versionReport(Address address) {
        return versionReports.computeIfAbsent(address, a -> new CompletableFuture<>());
    }

    private static void await(CompletableFuture<Void> future, long nanos) {
        try {
            future.get(nanos, TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.debug("config: the platform or a peer did not respond in time");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void startVirtualThread(Runnable task) {
        Thread.ofVirtual().start(task);
    }

    @FunctionalInterface
    private interface Interruptible {
        void run() throws InterruptedException;
    }

    private static void runInterruptibly(Interruptible task) {
        try {
            task.run();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void tick() {
        long now = timers.nanos();
        if (now - nextRound < 0) {
            return;
        }
        // Half a gossip period less, so that a slightly early tick does not skip a round.
        nextRound = now
                + options.timings().framePeriod(membership.fleetSize()).toNanos()
                - options.timings().gossipPeriod().toNanos() / 2;
        membership.tick().forEach(gossipExchange::forget);
        gossipExchange.tick();
        links.tick();
        gossipExchange.sendRound(links.all(), false);
    }

    private boolean isMesh() {
        return membership.fleetSize() <= Links.FULL_MESH_MEMBERS;
    }

    private Duration largeFleetDelay() {
        return DELAY_PER_MEMBER.multipliedBy(membership.fleetSize());
    }

    private void scheduleFlush() {
        scheduleFlushAfter(
                isMesh() ? FLUSH_DELAY : largeFleetDelay(), changesFlushScheduled, gossipExchange::sendChanges);
    }

    private void scheduleTargetsFlush() {
        scheduleFlushAfter(FLUSH_DELAY, targetsFlushScheduled, gossipExchange::sendTableChanges);
    }

    private void scheduleLoadsFlush() {
        scheduleFlushAfter(isMesh() ? LOAD_DELAY : largeFleetDelay(), loadsFlushScheduled, all -> {
            if (ownLoadsChanged.compareAndSet(true, false)) {
                gossipExchange.refreshLoads();
            }
            gossipExchange.sendTableChanges(all);
        });
    }

    private void scheduleFlushAfter(Duration delay, AtomicBoolean scheduled, Consumer<Collection<Link>> send) {
        if (scheduled.compareAndSet(false, true)) {
            timers.after(delay, () -> {
                scheduled.set(false);
                send.accept(links.all());
            });
        }
    }

    /** Schedules an update to the peers after the loads of this instance have changed. */
    public void onLoadsChanged() {
        ownLoadsChanged.set(true);
        scheduleLoadsFlush();
    }

    /**
     * Stores the published targets that this instance has read and sends the changed ones to the peers shortly after.
     */
    public void publishTargets(List<PublishedTarget> targets) {
        if (gossipExchange.publish(targets)) {
            scheduleTargetsFlush();
        }
    }

    /** Stores evacuations that this instance has read and sends the changed ones to the peers shortly after. */
    public void publishEvacuations(List<DomainEvacuation> evacuations) {
        if (gossipExchange.publishEvacuations(evacuations)) {
            scheduleTargetsFlush();
        }
    }

    /**
     * Reports on the traits of requests to all instances at once. The instance, incarnation and number of the report
     * are set here.
     */
    public void reportTraits(TraitReport report) {
        gossipExchange.report(report);
        scheduleTargetsFlush();
    }

    /** Dispatches received frames to the components that handle them. */
    private final class FrameListener implements Link.Listener {
        @Override
        public void onFrame(Link link, PeerFrame frame) throws BadFrameException {
            link.lastReceived = timers.nanos();
            if (frame.isSetHello()) {
                if (link.hello.isDone()) {
                    throw new IllegalArgumentException("second hello");
                }
                links.onHello(link, frame.getHello());
                return;
            }
            if (!link.isReady()) {
                throw new IllegalArgumentException("frame before hello");
            }
            switch (frame.getSetField()) {
                case GOSSIP -> onGossip(link, frame.getGossip());
                case CONFIG_REQUEST -> propagator.onRequest(link, frame.getConfigRequest());
                case CONFIG_DOCUMENT -> propagator.onDocument(link, frame.getConfigDocument());
                case CONFIG_DELTA -> propagator.onDelta(link, frame.getConfigDelta());
                case FORWARD_CALL -> forwarder.onCall(link, frame.getForwardCall());
                case FORWARD_RESULT -> forwarder.onResult(link, frame.getForwardResult());
                case KEY_TRANSFER -> forwarder.onTransfer(link, frame.getKeyTransfer());
                case KEY_TRANSFER_ACK -> forwarder.onAck(link);
                default -> throw new IllegalArgumentException("unexpected frame " + frame.getSetField());
            }
        }

        private void onGossip(Link link, Gossip gossip) {
            GossipExchange.Updates updates = gossipExchange.receive(link, gossip);
            if (updates.members()) {
                scheduleFlush();
            }
            if (updates.targets()) {
                scheduleTargetsFlush();
            }
            if (updates.loads() && !isMesh()) {
                // In a full mesh every member receives the reports of the others directly.
                scheduleLoadsFlush();
            }
            propagator.onPeerVersion(link, gossip.getConfigVersion(), gossip.getConfigDigest());
            link.firstGossip.complete(null);
            if (!startupQueryDone) {
                membership
                        .latestRun(link.peer().instance())
                        .ifPresent(member -> versionReport(member.address()).complete(null));
            }
        }

        @Override
        public void onClosed(Link link, String reason) {
            links.onClosed(link);
            LOG.debugf("peer: link to %s closed: %s", link, reason);
        }
    }

    /** Returns the address at which peers connect to this instance. */
    public Address address() {
        return membership.ownRecord().address();
    }

    /**
     * Returns the reason why this instance is not ready yet. Empty once the platform and the known peers have been
     * asked and there is a valid document.
     */
    public Optional<String> notReadyReason() {
        if (!startupQueryDone) {
            return Optional.of("configuration: the platform and the known peers are still being asked");
        }
        if (propagator.version() == 0) {
            return Optional.of("configuration: no valid document; " + propagator.lastFault());
        }
        return Optional.empty();
    }

    /**
     * Returns whether the member table may be out of date after a start or a pause of this process. While it is, no
     * member is considered gone because of heartbeats missed before, and no orders are sent.
     */
    public boolean isStale() {
        return membership.isStale();
    }

    /** Calls the listener with each deployment that is put in force, and immediately with the current one, if any. */
    public void addConfigListener(Consumer<D> listener) {
        propagator.addListener(listener);
    }

    /**
     * Offers a document from a source other than a peer; it is put in force if it is valid and higher than the current
     * one.
     *
     * @param source name of the source, for messages
     * @param body the document as published
     * @return whether it is valid
     */
    public boolean offerConfig(String source, byte[] body) {
        return propagator.offer(source, body);
    }

    /** Calls the listener with each instance list that the platform returns; it may be out of date or incomplete. */
    public void addInstancesListener(Consumer<List<PlatformInstance>> listener) {
        platform.ifPresent(p -> p.addListener(listener));
    }

    /** Returns the counters of this instance's control traffic. */
    public PeerStats stats() {
        return new PeerStats(
                links.traffic().sent().get(),
                links.traffic().received().get(),
                links.traffic().config().get(),
                links.all().size(),
                platform.map(PlatformReader::reads).orElse(0L),
                propagator.fetches(),
                propagator.deltas(),
                propagator.conflicts(),
                propagator.rejections());
    }

    @Override
    public InstanceId self() {
        return self.instance();
    }

    @Override
    public Incarnation incarnation() {
        return self.incarnation();
    }

    @Override
    public List<MemberInfo> members() {
        return membership.members();
    }

    @Override
    public CompletableFuture<ForwardResult> forward(
            InstanceId owner, Incarnation run, ForwardCall call, Duration timeout) {
        return forwarder.forward(new Run(owner, run), call, timeout);
    }

    @Override
    public CompletableFuture<Void> transferKeys(InstanceId successor, List<KeyTransfer> parts, Duration timeout) {
        return forwarder.transfer(successor, parts, timeout);
    }

    @Override
    public void announceKeySuccessor(InstanceId successor) {
        Optional<Run> run = forwarder
                .transferredTo(successor)
                .or(() -> membership.latestRun(successor).map(MemberRecord::run));
        if (run.isEmpty()) {
            throw new IllegalArgumentException("key successor is not a known member: " + successor);
        }
        membership.setOwnState(MemberState.LEAVING, run);
        scheduleFlush();
    }

    @Override
    public boolean isKeySuccessorOf(InstanceId owner, Incarnation run) {
        return membership.isSuccessor(new Run(owner, run), new Run(self(), incarnation()));
    }

    @Override
    public void announceLeaving() {
        membership.setOwnState(MemberState.LEAVING, Optional.empty());
        scheduleFlush();
    }

    @Override
    public void sendStateNow() {
        gossipExchange.sendRound(links.all(), true);
    }

    @Override
    public CompletableFuture<Void> close() {
        membership.setOwnState(MemberState.LEFT, Optional.empty());
        gossipExchange.sendChanges(links.all());
        return abort();
    }

    /** Closes all links without notifying the peers, as when the process is killed. */
    CompletableFuture<Void> abort() {
        subscriptions.forEach(Subscription::cancel);
        platform.ifPresent(PlatformReader::close);
        return links.close();
    }
}
