package org.verbenatally.peer;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.core.Address;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.time.PausableTimers;
import org.verbenatally.wire.ConfigDocument;
import org.verbenatally.wire.ConfigRequest;
import org.verbenatally.wire.Hello;
import org.verbenatally.wire.PeerFrame;

import static org.assertj.core.api.Assertions.assertThat;

class FaultTest {
    private final Fleet fleet = new Fleet();

    /** The document that each platform stand-in serves; a stand-in without one responds as if it were down. */
    private final Map<Address, byte[]> served = new ConcurrentHashMap<>();
    /** The instance list that all platform stand-ins serve, if any. */
    private volatile byte[] instances;

    @AfterEach
    void close() throws Exception {
        fleet.close();
    }

    private Address startPlatform() throws Exception {
        HttpServer server = fleet.vertx.createHttpServer();
        Address[] address = new Address[1];
        server.requestHandler(request -> {
            byte[] body = request.path().equals("/v1/config") ? served.get(address[0]) : instances;
            request.response()
                    .setStatusCode(body == null ? 503 : 200)
                    .end(Buffer.buffer(body == null ? new byte[0] : body));
        });
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        address[0] = new Address("127.0.0.1", server.actualPort());
        return address[0];
    }

    /**
     * Guards against a configuration that reverts or does not reach all instances. Each instance has its own platform,
     * and platforms are down, stale or flapping, serve invalid documents or disagree about one version.
     */
    @ParameterizedTest
    @ValueSource(strings = {"down", "stale", "flapping", "invalid", "conflict"})
    void highestValidVersionWinsEverywhere(String fault) throws Exception {
        byte[] high = Fleet.document(7, "high");
        byte[] twin = Fleet.document(7, "twin");
        byte[] low = Fleet.document(3, "low");
        boolean twinWins = java.util.Arrays.compareUnsigned(ConfigReader.digest(twin), ConfigReader.digest(high)) > 0;
        List<Address> platforms = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            platforms.add(startPlatform());
            fleet.start("e" + i, Optional.of(platforms.getLast()), fleet.timers);
        }
        fleet.awaitAllLive();
        served.put(platforms.get(0), high);
        switch (fault) {
            case "stale" -> platforms.subList(1, 4).forEach(p -> served.put(p, low));
            case "flapping" -> {
                Fleet.await(() -> fleet.node("e1").version() == 7);
                served.put(platforms.get(0), low);
            }
            case "invalid" -> platforms.subList(1, 4).forEach(p -> served.put(p, "{\"version\": 9}".getBytes()));
            case "conflict" -> served.put(platforms.get(2), twin);
            default -> served.keySet().retainAll(platforms.subList(0, 1));
        }
        byte[] winner = fault.equals("conflict") && twinWins ? twin : high;
        Fleet.await(() -> fleet.nodes.values().stream()
                .allMatch(n -> n.config.document().isPresent()
                        && java.util.Arrays.equals(n.config.document().get().body(), winner)));
        assertThat(fleet.nodes.values()).allSatisfy(n -> {
            assertThat(n.versions).isSorted();
            assertThat(n.peers.notReadyReason()).isEmpty();
        });
        if (fault.equals("invalid")) {
            // The invalid documents may arrive after the valid one; they must be rejected and change nothing.
            Fleet.await(() -> List.of("e2", "e3", "e4").stream()
                    .allMatch(id -> fleet.node(id).peers.stats().configRejections() > 0));
        } else {
            assertThat(fleet.nodes.values())
                    .allSatisfy(
                            n -> assertThat(n.peers.stats().configRejections()).isZero());
        }
        assertThat(fleet.nodes.values())
                .allSatisfy(n ->
                        assertThat(n.config.document().orElseThrow().body()).isEqualTo(winner));
    }

    /** Guards against a document whose reading fails in an unexpected way and ends the task that reads documents. */
    @ParameterizedTest
    @MethodSource("org.verbenatally.config.ConfigReaderTest#oddDocuments")
    void documentIsReadAfterAnOddOne(byte[] odd) throws Exception {
        Address platform = startPlatform();
        served.put(platform, odd);
        Fleet.Node node = fleet.start("e1", Optional.of(platform), fleet.timers);
        Fleet.await(() -> node.peers.stats().configRejections() > 0);
        served.put(platform, Fleet.document(4, "sound"));
        Fleet.await(() -> node.version() == 4);
        assertThat(node.peers.stats().configRejections()).isEqualTo(1);
    }

    /** Guards against a failure in the use of the instance list that ends the task that reads the list. */
    @Test
    void instanceListIsReadAfterAFailure() throws Exception {
        instances = "[]".getBytes();
        Fleet.Node node = fleet.start("e1", Optional.of(startPlatform()), fleet.timers);
        AtomicInteger lists = new AtomicInteger();
        node.peers.addInstancesListener(list -> {
            lists.incrementAndGet();
            throw new IllegalStateException("simulated");
        });
        Fleet.await(() -> lists.get() > 2);
    }

    /**
     * Guards against complete documents sent on all links for each small change, which would exceed the traffic limit.
     */
    @Test
    void smallChangeOfALargeDocumentIsSentAsDelta() throws Exception {
        Address platform = startPlatform();
        String padding = "padding\n// ".repeat(400);
        served.put(platform, Fleet.document(1, padding));
        fleet.start("e1", Optional.of(platform), fleet.timers);
        fleet.start("e2");
        fleet.awaitAllLive();
        Fleet.await(() -> fleet.node("e2").version() == 1);
        served.put(platform, Fleet.document(2, padding));
        Fleet.await(() -> fleet.node("e2").version() == 2);
        assertThat(fleet.node("e2").peers.stats().configDeltas()).isEqualTo(1);
        assertThat(fleet.node("e2").config.document().orElseThrow().body()).isEqualTo(Fleet.document(2, padding));
    }

    /**
     * Guards against an instance that becomes ready without a configuration or with one that its peers have replaced.
     */
    @Test
    void startingInstanceIsReadyOnlyWithTheVersionOfItsPeers() throws Exception {
        var first = fleet.start("e1");
        Fleet.await(() -> first.peers
                .notReadyReason()
                .filter(r -> r.contains("no valid document"))
                .isPresent());
        Address platform = startPlatform();
        served.put(platform, Fleet.document(2, "old"));
        first.config.offer(ConfigReader.readDocument("test", Fleet.document(5, "new")));
        var second = fleet.start("e2", Optional.of(platform), fleet.timers);
        Fleet.await(() -> second.peers.notReadyReason().isEmpty());
        assertThat(second.version()).isEqualTo(5);
    }

    /**
     * Guards against a restarted instance that applies an old copy from the platform before its peers have responded.
     */
    @Test
    void startingInstanceNeverAppliesALowerVersionThanItsPeersHave() throws Exception {
        Address fresh = startPlatform();
        served.put(fresh, Fleet.document(7, "high"));
        fleet.start("e1", Optional.of(fresh), fleet.timers);
        Fleet.await(() -> fleet.node("e1").version() == 7);
        Address stale = startPlatform();
        served.put(stale, Fleet.document(3, "low"));
        for (int i = 2; i <= 5; i++) {
            Fleet.Node node = fleet.start("e" + i, Optional.of(stale), fleet.timers);
            Fleet.await(() -> node.peers.notReadyReason().isEmpty());
            assertThat(node.versions).as("versions applied by e" + i).containsExactly(7L);
        }
    }

    /**
     * Guards against a restarted instance that applies an old copy from the platform. A peer that dials the instance at
     * the moment it is dialled itself closes one of the two links and reports its version on the other one.
     */
    @Test
    void startingInstanceWaitsForAPeerThatKeepsAnotherLink() throws Exception {
        Address stale = startPlatform();
        served.put(stale, Fleet.document(3, "low"));
        try (var peer = new ScriptedPeer(fleet.vertx, "a1", 7, Fleet.document(7, "high"))) {
            var node = fleet.start("e2", List.of(peer.address()), Optional.of(stale), fleet.timers);
            peer.onConnection(queryLink -> peer.dial(node.peers.address()).thenAccept(otherLink -> {
                queryLink.close();
                // Well within the time for which a starting instance waits for each peer.
                fleet.timers.after(fleet.timings.startupQueryTimeout().dividedBy(3), otherLink::sendVersion);
            }));
            Fleet.await(() -> node.peers.notReadyReason().isEmpty());
            assertThat(node.versions).containsExactly(7L);
        }
    }

    /** Guards against sides of a partition that stop working, revert their configuration or do not merge again. */
    @Test
    void partitionedSidesContinueAndMergeToTheHigherVersion() throws Exception {
        fleet.startMembers(4);
        List<String> left = List.of("e1", "e2");
        fleet.nodes.forEach((from, a) -> fleet.nodes.forEach((to, b) -> {
            if (left.contains(from) != left.contains(to)) {
                fleet.network.block(from, b.peers.address());
            }
        }));
        Fleet.await(() ->
                fleet.nodes.values().stream().allMatch(n -> n.count(Status.LIVE) == 2 && n.count(Status.GONE) == 2));
        Address platform = startPlatform();
        served.put(platform, Fleet.document(4, "left"));
        fleet.start("e5", Optional.of(platform), fleet.timers);
        fleet.node("e3").config.offer(ConfigReader.readDocument("test", Fleet.document(6, "right")));
        Fleet.await(() -> fleet.node("e2").version() >= 4);
        assertThat(fleet.node("e3").version()).isEqualTo(6);
        fleet.nodes.forEach(
                (from, a) -> fleet.nodes.values().forEach(b -> fleet.network.unblock(from, b.peers.address())));
        fleet.awaitAllLive();
        Fleet.await(() -> fleet.nodes.values().stream().allMatch(n -> n.version() == 6));
    }

    /** Guards against a paused process that declares all other members gone when it resumes. */
    @Test
    void pausedProcessDeclaresNoMemberGone() throws Exception {
        var timers = new PausableTimers();
        fleet.startMembers(2);
        var paused = fleet.start("e3", Optional.empty(), timers);
        fleet.awaitAllLive();
        timers.pause();
        for (String other : List.of("e1", "e2")) {
            fleet.network.silence(other, paused.peers.address());
            fleet.network.silence("e3", fleet.node(other).peers.address());
        }
        Fleet.await(() -> fleet.node("e1").gone.contains(paused.peers.self()));
        timers.resume(Duration.ofSeconds(3));
        assertThat(paused.count(Status.LIVE)).isEqualTo(3);
        assertThat(paused.peers.isStale()).isTrue();
        fleet.awaitAllLive();
        assertThat(paused.gone).isEmpty();
        timers.close();
    }

    /** Guards against links that stay open for ever after their connection went silent. */
    @Test
    void silentLinkIsReplacedBeforeTheMemberIsGone() throws Exception {
        fleet.startMembers(2);
        long silenced = fleet.network.silence("e1", fleet.node("e2").peers.address())
                + fleet.network.silence("e2", fleet.node("e1").peers.address());
        assertThat(silenced).isPositive();
        fleet.node("e1").ownLeaving = java.util.Set.of(new org.verbenatally.core.TargetId("engine-9"));
        Fleet.await(() -> !fleet.node("e2")
                .leaving
                .getOrDefault(fleet.node("e1").peers.self(), java.util.Set.of())
                .isEmpty());
        fleet.awaitAllLive();
        assertThat(fleet.node("e1").gone).isEmpty();
        assertThat(fleet.node("e2").gone).isEmpty();
    }

    private Buffer badFrame(String fault) throws Exception {
        var hello = PeerFrame.hello(new Hello(1, "x", 5, "Bole", fault.equals("deployment") ? "other" : "test"));
        Buffer good = FrameCodec.encode(hello);
        return switch (fault) {
            case "zero length" -> Buffer.buffer().appendInt(0);
            case "huge length" -> Buffer.buffer().appendInt(Integer.MAX_VALUE);
            case "garbage" -> Buffer.buffer().appendInt(8).appendLong(-1);
            case "before hello" -> FrameCodec.encode(PeerFrame.configRequest(new ConfigRequest(0)));
            case "second hello" -> good.copy().appendBuffer(good);
            case "bad digest" ->
                good.copy()
                        .appendBuffer(FrameCodec.encode(PeerFrame.configDocument(new ConfigDocument(
                                9,
                                ByteBuffer.allocate(32),
                                ByteBuffer.wrap(FrameCodec.deflate(Fleet.document(9, "x")))))));
            case "zip bomb" ->
                good.copy()
                        .appendBuffer(FrameCodec.encode(PeerFrame.configDocument(new ConfigDocument(
                                9, ByteBuffer.allocate(32), ByteBuffer.wrap(FrameCodec.deflate(new byte[1 << 24]))))));
            default -> good;
        };
    }

    /** Guards against a malformed frame that is applied or affects other links. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "zero length",
                "huge length",
                "garbage",
                "before hello",
                "second hello",
                "deployment",
                "bad digest",
                "zip bomb"
            })
    void malformedFrameClosesOnlyItsConnection(String fault) throws Exception {
        fleet.startMembers(2);
        var node = fleet.node("e1");
        Address address = node.peers.address();
        NetSocket socket = fleet.vertx
                .createNetClient()
                .connect(address.port(), address.host())
                .toCompletionStage()
                .toCompletableFuture()
                .get(30, TimeUnit.SECONDS);
        var closed = new java.util.concurrent.CompletableFuture<Void>();
        socket.closeHandler(v -> closed.complete(null));
        socket.handler(b -> {});
        socket.write(badFrame(fault));
        closed.get(30, TimeUnit.SECONDS);
        assertThat(node.version()).isZero();
        assertThat(node.count(Status.LIVE)).isEqualTo(2);
    }
}
