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
import org.verbenatally.peer.MemberRow.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.time.TimerService.Subscription;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.Gossip;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.MemberState;
import org.verbenatally.wire.PeerFrame;
import org.verbenatally.wire.PublishedTarget;

/**
 * The peer network of an entry process over TCP: membership, state exchange, forwarding and configuration
 * dissemination. Start one with {@link #start}.
 *
 * @param <D> the kind of deployment document that the peers pass on
 */
public final class Peers<D extends VersionedDeployment> implements PeerNetwork {
    private static final Logger LOG = Logger.getLogger(Peers.class);

    /** Peers that a starting instance asks; with the platform unreachable this many cannot all be behind for long. */
    private static final int MAX_ASKED = 64;

    /** Collects changes that arrive together into one frame. */
    private static final Duration FLUSH_DELAY = Duration.ofMillis(10);

    /** Collects changes of loads in a fleet where each instance has a link to each other. */
    private static final Duration LOAD_DELAY = Duration.ofMillis(5);

    /**
     * In a larger fleet loads and members change the more often the more members there are; this delay for each of them
     * keeps the frames of an instance to a constant number a second.
     */
    private static final Duration DELAY_OF_MEMBER = Duration.ofMillis(4);

    private static final CompletableFuture<Void> NOTHING_TO_TELL = CompletableFuture.completedFuture(null);

    private final PeerOptions options;
    private final Run self;
    private final TimerService timers;
    private final PeerHandler handler;
    private final Membership membership;
    private final Links links;
    private final GossipExchange exchange;
    private final ConfigSpreader<D> spreader;
    private final Forwarder forwarder;
    private final Optional<PlatformReader> platform;
    private final List<Subscription> subscriptions = new ArrayList<>();
    private final AtomicBoolean flushPlanned = new AtomicBoolean();
    private final AtomicBoolean targetsPlanned = new AtomicBoolean();
    private final AtomicBoolean loadsPlanned = new AtomicBoolean();
    private final AtomicBoolean ownLoadsChanged = new AtomicBoolean();
    private volatile boolean asked;

    /** Done for each peer that has told its configuration version, over any link; used until all are asked. */
    private final Map<Address, CompletableFuture<Void>> told = new ConcurrentHashMap<>();

    private long nextRound;

    private Peers(
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
        var own = new MemberRow(
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
        exchange = new GossipExchange(options.timings(), membership, timers, config, handler);
        spreader = new ConfigSpreader<>(options, timers, config, reader, document -> {
            membership.setConfigVersion(document.deployment().version());
            flushSoon();
        });
        forwarder = new Forwarder(self, membership, links, timers, handler);
        platform = options.platform()
                .map(address -> new PlatformReader(options, new PlatformClient(vertx, address), spreader, membership));
    }

    /**
     * Listens for peers, connects to the known ones and asks them and the platform for the configuration.
     *
     * @param options what the instance knows of itself
     * @param vertx runs the connections
     * @param timers the process's timer service
     * @param config where accepted documents are put in force
     * @param reader reads the documents that the platform and the peers offer
     * @param handler what the entry process supplies and receives
     * @param <D> the kind of deployment document
     * @return the running network; fails with a {@link StepException} at step {@code CONNECT} if the port is taken
     */
    public static <D extends VersionedDeployment> CompletableFuture<Peers<D>> start(
            PeerOptions options,
            Vertx vertx,
            TimerService timers,
            ConfigHolder<D> config,
            DocumentReader<D> reader,
            PeerHandler handler) {
        NetClient client = vertx.createNetClient(PeerTls.client(options));
        return start(options, vertx, a -> client.connect(a.port(), a.host()), timers, config, reader, handler);
    }

    static <D extends VersionedDeployment> CompletableFuture<Peers<D>> start(
            PeerOptions options,
            Vertx vertx,
            Links.Dialer dialer,
            TimerService timers,
            ConfigHolder<D> config,
            DocumentReader<D> reader,
            PeerHandler handler) {
        Objects.requireNonNull(handler, "handler");
        var result = new CompletableFuture<Peers<D>>();
        var peers = new CompletableFuture<Peers<D>>();
        NetServer server = vertx.createNetServer(PeerTls.server(options));
        // Connections that come before the object is complete are accepted as soon as it is.
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
            Peers<D> p = new Peers<>(options, vertx, server, dialer, timers, config, reader, handler);
            peers.complete(p);
            p.run();
            result.complete(p);
        });
        return result;
    }

    private void run() {
        LOG.infof("peer: %s (run %s) listens on %s", self.instance(), self.incarnation(), address());
        subscriptions.add(timers.onPause(lost -> links.forgiveSilence()));
        subscriptions.add(timers.every(options.timings().gossip(), tick -> tick()));
        platform.ifPresent(p -> p.listen(list -> links.hint(list.stream()
                .filter(i -> i.role() == PlatformInstance.Role.ENTRY)
                .flatMap(i -> i.peerAddress().stream())
                .toList())));
        Thread.ofVirtual().name("start-" + self.instance()).start(this::askAll);
    }

    /** The start rule: ready only after the platform and the known peers were asked, each for a bounded time. */
    private void askAll() {
        long bound = options.timings().startAsk().toNanos();
        var list = CompletableFuture.runAsync(
                () -> platform.ifPresent(p -> uninterrupted(p::readInstancesOnce)), Peers::virtually);
        var seeds = options.seeds().stream().map(this::ask);
        var first = CompletableFuture.allOf(java.util.stream.Stream.concat(
                        seeds,
                        java.util.stream.Stream.of(
                                list,
                                CompletableFuture.runAsync(
                                        () -> platform.ifPresent(p -> uninterrupted(p::readConfigOnce)),
                                        Peers::virtually)))
                .toArray(CompletableFuture[]::new));
        await(first, bound);
        List<Address> listed = links.known();
        listed.removeAll(options.seeds());
        Collections.shuffle(listed, new java.util.Random(options.seed()));
        await(
                CompletableFuture.allOf(
                        listed.stream().limit(MAX_ASKED).map(this::ask).toArray(CompletableFuture[]::new)),
                bound);
        long until = timers.nanos() + bound;
        while (spreader.isFetching() && timers.nanos() - until < 0) {
            uninterrupted(() -> TimeUnit.MILLISECONDS.sleep(FLUSH_DELAY.toMillis()));
        }
        spreader.start();
        asked = true;
        told.clear();
        platform.ifPresent(PlatformReader::start);
    }

    /** Replaces the addresses that are tried when no peer is known. */
    public void seeds(List<Address> addresses) {
        links.seeds(addresses);
    }

    /** Completes when the peer at an address has told its configuration version or cannot be reached. */
    private CompletableFuture<Void> ask(Address address) {
        CompletableFuture<Void> answer = toldBy(address);
        links.dial(address, false)
                .thenCompose(link -> self.equals(link.peer()) ? NOTHING_TO_TELL : link.firstGossip)
                .whenComplete((v, e) -> {
                    // A peer that was reached may have closed the link because it keeps another one to this instance;
                    // it tells its version there.
                    if (e == null || Links.isUnreachable(e)) {
                        answer.complete(null);
                    }
                });
        return answer;
    }

    private CompletableFuture<Void> toldBy(Address address) {
        return told.computeIfAbsent(address, a -> new CompletableFuture<>());
    }

    private static void await(CompletableFuture<Void> future, long nanos) {
        try {
            future.get(nanos, TimeUnit.NANOSECONDS);
        } catch (ExecutionException | TimeoutException e) {
            LOG.debug("config: not all answered in time");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void virtually(Runnable task) {
        Thread.ofVirtual().start(task);
    }

    @FunctionalInterface
    private interface Interruptible {
        void run() throws InterruptedException;
    }

    private static void uninterrupted(Interruptible task) {
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
        // Half a gossip period less, so that a tick that comes a little early does not skip a turn.
        nextRound = now
                + options.timings().framePeriod(membership.fleet()).toNanos()
                - options.timings().gossip().toNanos() / 2;
        membership.tick().forEach(exchange::forget);
        exchange.tick();
        links.tick();
        exchange.sendRound(links.all(), false);
    }

    private boolean isMesh() {
        return membership.fleet() <= Links.FULL_MESH_MEMBERS;
    }

    private Duration delayOfLargeFleet() {
        return DELAY_OF_MEMBER.multipliedBy(membership.fleet());
    }

    private void flushSoon() {
        flushAfter(isMesh() ? FLUSH_DELAY : delayOfLargeFleet(), flushPlanned, exchange::sendChanges);
    }

    private void flushTargets() {
        flushAfter(FLUSH_DELAY, targetsPlanned, exchange::sendLoads);
    }

    private void flushLoads() {
        flushAfter(isMesh() ? LOAD_DELAY : delayOfLargeFleet(), loadsPlanned, all -> {
            if (ownLoadsChanged.compareAndSet(true, false)) {
                exchange.stateLoads();
            }
            exchange.sendLoads(all);
        });
    }

    private void flushAfter(Duration delay, AtomicBoolean planned, Consumer<Collection<Link>> send) {
        if (planned.compareAndSet(false, true)) {
            timers.after(delay, () -> {
                planned.set(false);
                send.accept(links.all());
            });
        }
    }

    /** Tells the peers soon that the loads of this instance have changed. */
    public void loadsChanged() {
        ownLoadsChanged.set(true);
        flushLoads();
    }

    /** Takes the published entries that this instance has read and tells the peers at once of what is new. */
    public void publish(List<PublishedTarget> entries) {
        if (exchange.publish(entries)) {
            flushTargets();
        }
    }

    /** Gives frames to the parts that handle them. */
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
                case CONFIG_REQUEST -> spreader.onRequest(link, frame.getConfigRequest());
                case CONFIG_DOCUMENT -> spreader.onDocument(link, frame.getConfigDocument());
                case CONFIG_DELTA -> spreader.onDelta(link, frame.getConfigDelta());
                case FORWARD_CALL -> forwarder.onCall(link, frame.getForwardCall());
                case FORWARD_RESULT -> forwarder.onResult(link, frame.getForwardResult());
                case KEY_TRANSFER -> forwarder.onTransfer(link, frame.getKeyTransfer());
                case KEY_TRANSFER_ACK -> forwarder.onAck(link);
                default -> throw new IllegalArgumentException("unexpected frame " + frame.getSetField());
            }
        }

        private void onGossip(Link link, Gossip gossip) {
            GossipExchange.News news = exchange.receive(link, gossip);
            if (news.members()) {
                flushSoon();
            }
            if (news.targets()) {
                flushTargets();
            }
            if (news.loads() && !isMesh()) {
                // In a mesh what others state has reached all members already.
                flushLoads();
            }
            spreader.onPeerVersion(link, gossip.getConfigVersion(), gossip.getConfigDigest());
            link.firstGossip.complete(null);
            if (!asked) {
                membership
                        .current(link.peer().instance())
                        .ifPresent(row -> toldBy(row.address()).complete(null));
            }
        }

        @Override
        public void onClosed(Link link, String reason) {
            links.onClosed(link);
            LOG.debugf("peer: link to %s closed: %s", link, reason);
        }
    }

    /** Returns where this instance listens for peers. */
    public Address address() {
        return membership.own().address();
    }

    /**
     * Returns why this instance must not be ready yet, or empty if nothing here stands against it: the platform and
     * the known peers were asked and a valid document is in force.
     */
    public Optional<String> notReadyReason() {
        if (!asked) {
            return Optional.of("configuration: the platform and the known peers are still being asked");
        }
        if (spreader.version() == 0) {
            return Optional.of("configuration: no valid document; " + spreader.lastFault());
        }
        return Optional.empty();
    }

    /**
     * Returns whether the member table may be out of date after a start or a pause. While it is, no member is declared
     * gone because of old silence and no orders are sent.
     */
    public boolean isStale() {
        return membership.isStale();
    }

    /** Calls the listener with each deployment that is put in force, and at once with the present one. */
    public void onConfig(Consumer<D> listener) {
        spreader.listen(listener);
    }

    /**
     * Offers a document that came from another source than a peer; it is put in force if it is valid and higher than
     * the present one.
     *
     * @param source where it came from, for messages
     * @param body the document as published
     * @return whether it is valid
     */
    public boolean offerConfig(String source, byte[] body) {
        return spreader.offer(source, body);
    }

    /** Calls the listener with each instance list that the platform returns; it lags and may be incomplete. */
    public void onInstances(Consumer<List<PlatformInstance>> listener) {
        platform.ifPresent(p -> p.listen(listener));
    }

    /** Returns counters of this instance's control traffic. */
    public PeerStats stats() {
        return new PeerStats(
                links.traffic().sent().get(),
                links.traffic().received().get(),
                links.traffic().config().get(),
                links.all().size(),
                platform.map(PlatformReader::reads).orElse(0L),
                spreader.fetches(),
                spreader.deltas(),
                spreader.conflicts(),
                spreader.rejections());
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
                .or(() -> membership.current(successor).map(MemberRow::run));
        if (run.isEmpty()) {
            throw new IllegalArgumentException("key successor is not a known member: " + successor);
        }
        membership.setOwn(MemberState.LEAVING, run);
        flushSoon();
    }

    @Override
    public boolean isKeySuccessorOf(InstanceId owner, Incarnation run) {
        return membership.isSuccessor(new Run(owner, run), new Run(self(), incarnation()));
    }

    @Override
    public void leave() {
        membership.setOwn(MemberState.LEAVING, Optional.empty());
        flushSoon();
    }

    @Override
    public void push() {
        exchange.sendRound(links.all(), true);
    }

    @Override
    public CompletableFuture<Void> close() {
        membership.setOwn(MemberState.LEFT, Optional.empty());
        exchange.sendChanges(links.all());
        return abort();
    }

    /** Ends without telling the peers, as a killed process does. */
    CompletableFuture<Void> abort() {
        subscriptions.forEach(Subscription::cancel);
        platform.ifPresent(PlatformReader::close);
        return links.close();
    }
}
