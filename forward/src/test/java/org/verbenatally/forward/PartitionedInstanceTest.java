package org.verbenatally.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.verbenatally.forward.ForwardFixture.CALLS;
import static org.verbenatally.forward.ForwardFixture.ENGINES;

/** Two instances, of which one has lost its paths to all targets and the other one reaches them. */
class PartitionedInstanceTest {
    private static final Duration BOUND = Duration.ofSeconds(20);
    private static final int REQUESTS = 10;

    private final List<AutoCloseable> resources = new ArrayList<>();
    private ForwardFixture partitioned;
    private ForwardFixture connected;
    private RawTarget target;
    private volatile RawTarget.Script script;
    private int relayPort;
    private long nextRevision = 1_000_000;

    /** How connections to an address fail. */
    enum Failure {
        REFUSED,
        HANGING
    }

    @BeforeEach
    void start() throws Exception {
        relayPort = ForwardFixture.unusedPort();
        connected = add(ForwardFixture.joining(
                new ForwardFixture.Member("connected", "127.0.0.1", "127.0.0.2", List.of(), Optional.of(relayPort))));
        partitioned = add(ForwardFixture.joining(new ForwardFixture.Member(
                "partitioned", "127.0.0.2", "127.0.0.2", List.of(connected.peerAddress), Optional.of(relayPort))));
        connected.configure(1);
        partitioned.configure(1);
        await(() -> connected.server.liveMembers() == 2 && partitioned.server.liveMembers() == 2);
        script = (head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n");
            return true;
        };
        target = add(new RawTarget((head, out, socket) -> script.respond(head, out, socket)));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : resources.reversed()) {
            resource.close();
        }
    }

    private <T extends AutoCloseable> T add(T resource) {
        resources.add(resource);
        return resource;
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + BOUND.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    /** Publishes the same targets to both instances, at addresses that fail for the partitioned one. */
    private void publish(Failure failure) throws IOException {
        publish(failure, partitioned);
    }

    private void publish(Failure failure, ForwardFixture partitionedInstance) throws IOException {
        List<ForwardTarget> sound = targets(target.address(), null);
        List<ForwardTarget> failing = targets(null, failure);
        // Each instance keeps what it reads itself unless the record of the other one arrives first.
        do {
            SourceRevision revision = new SourceRevision(Targets.EPOCH, nextRevision++);
            connected.server.directory().applyPublished(Targets.list(revision, sound));
            partitionedInstance.server.directory().applyPublished(Targets.list(revision, failing));
        } while (!knows(connected, sound) || !knows(partitionedInstance, failing));
    }

    private static boolean knows(ForwardFixture fixture, List<ForwardTarget> targets) {
        return fixture.server.directory().candidates(CALLS).stream()
                .map(TargetState::target)
                .allMatch(targets::contains);
    }

    private List<ForwardTarget> targets(Address address, Failure failure) throws IOException {
        List<ForwardTarget> targets = new ArrayList<>();
        for (ServiceName service : List.of(CALLS, ENGINES)) {
            for (int i = 0; i < 3; i++) {
                targets.add(new ForwardTarget(
                        new TargetId(service + "-" + i),
                        1,
                        service,
                        address == null ? failingAddress(failure) : address,
                        new FailureDomain("here"),
                        4,
                        false,
                        0));
            }
        }
        return targets;
    }

    private Address failingAddress(Failure failure) throws IOException {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        if (failure == Failure.REFUSED) {
            socket.close();
        } else {
            add(socket);
            // Further connections get no response while the queue of those that wait to be accepted is full.
            for (int i = 0; i < 3; i++) {
                SocketChannel channel = add(SocketChannel.open());
                channel.configureBlocking(false);
                channel.connect(new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort()));
            }
        }
        return new Address(ForwardFixture.LOOPBACK, socket.getLocalPort());
    }

    private HttpResponse<String> send(String path, String id) throws Exception {
        return partitioned.send(partitioned.request(path, id).build());
    }

    /** Sends requests until one is served, and returns how many were sent. */
    private int sendUntilServed(String path) throws Exception {
        long deadline = System.nanoTime() + BOUND.toNanos();
        for (int sent = 1; System.nanoTime() < deadline; sent++) {
            if (send(path, "before" + sent).statusCode() == 200) {
                return sent;
            }
        }
        throw new AssertionError("no request was served within " + BOUND);
    }

    /** Guards against refusing all callers at an instance beside which another one could serve them. */
    @ParameterizedTest
    @CsvSource({
        "/once/x, REFUSED",
        "/once/x, HANGING",
        "/repeat/x, REFUSED",
        "/repeat/x, HANGING",
        "/stream/x, REFUSED",
        "/stream/x, HANGING"
    })
    void callersAreServedThroughPeer(String path, Failure failure) throws Exception {
        publish(failure);
        sendUntilServed(path);
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            statuses.add(send(path, "r" + i).statusCode());
        }
        assertThat(statuses).containsOnly(200);
        Stream<String> ids = target.requests().stream().map(head -> RawTarget.header(head, TestCodec.ID));
        assertThat(ids).doesNotHaveDuplicates();
    }

    /** Guards against bodies, times and credentials that do not reach the target as the caller sent them. */
    @Test
    void requestIsPassedOnUnchanged() throws Exception {
        publish(Failure.REFUSED);
        sendUntilServed("/once/x");
        HttpResponse<String> response = partitioned.send(partitioned
                .request("/once/x?q=1", "body")
                .header("X-Other", "kept")
                .POST(HttpRequest.BodyPublishers.ofString("b".repeat(20_000)))
                .build());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue(TestCodec.ID)).contains("body");
        assertThat(response.body()).isEqualTo("id: 1\ndata: x\n\n");
        String head = target.requests().getLast();
        assertThat(head).startsWith("POST /once/x?q=1 ");
        assertThat(RawTarget.header(head, "X-Other")).isEqualTo("kept");
        assertThat(RawTarget.header(head, "Content-Length")).isEqualTo("20000");
        assertThat(Long.parseLong(RawTarget.header(head, TestCodec.CALLER_TIMEOUT)))
                .isBetween(1L, 3_000L);
        assertThat(head).doesNotContain("Relay-");
    }

    /** Guards against sending a request twice because its target states what only peers may. */
    @Test
    void targetCannotDeclineForPeer() throws Exception {
        publish(Failure.REFUSED);
        script = (head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nRelay-Declined: full\r\nContent-Length: 2\r\n\r\nok");
            return true;
        };
        sendUntilServed("/once/x");
        assertThat(send("/once/x", "one").statusCode()).isEqualTo(200);
        assertThat(target.requests().stream().filter(head -> head.contains("Test-Id: one")))
                .hasSize(1);
    }

    /** Guards against taking the response of whatever else listens at the port of a peer for that to the request. */
    @Test
    void responseOfAnotherServiceIsNotPassedOn() throws Exception {
        RawTarget other = add(new RawTarget((head, out, socket) -> {
            RawTarget.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
            return true;
        }));
        ForwardFixture alone = add(ForwardFixture.joining(new ForwardFixture.Member(
                "alone",
                "127.0.0.3",
                "127.0.0.3",
                List.of(connected.peerAddress),
                Optional.of(other.address().port()))));
        alone.configure(1);
        await(() -> alone.server.liveMembers() == 3);
        publish(Failure.REFUSED, alone);
        long deadline = System.nanoTime() + BOUND.toNanos();
        for (int i = 0; other.requests().isEmpty() && System.nanoTime() < deadline; i++) {
            HttpResponse<String> response =
                    alone.send(alone.request("/once/x", "r" + i).build());
            assertThat(response.statusCode()).isIn(502, 503);
            assertThat(response.body()).isEmpty();
        }
        assertThat(other.requests()).isNotEmpty();
    }

    /** Guards against a request that goes round between instances none of which reaches a target. */
    @Test
    void requestIsPassedOnOnceOnly() throws Exception {
        publish(Failure.REFUSED);
        SourceRevision later = new SourceRevision(Targets.EPOCH, 2_000_000);
        connected.server.directory().applyPublished(Targets.list(later, targets(null, Failure.REFUSED)));
        for (int i = 0; i < REQUESTS; i++) {
            HttpResponse<String> response = send("/once/x", "r" + i);
            assertThat(response.statusCode()).isEqualTo(503);
        }
        assertThat(partitioned.server.metrics().scrape()).contains("relay declined");
        assertThat(connected.server.metrics().scrape()).doesNotContain("relay declined");
    }

    /** Guards against serving a request by an older configuration than the one that it was accepted with. */
    @Test
    void peerWithOlderConfigurationServesNothing() throws Exception {
        publish(Failure.REFUSED);
        sendUntilServed("/once/x");
        int before = target.requests().size();
        try (Socket socket = new Socket(ForwardFixture.LOOPBACK, relayPort)) {
            RawTarget.write(
                    socket.getOutputStream(),
                    "GET /once/x HTTP/1.1\r\nHost: 127.0.0.2\r\nTest-Id: a\r\nRelay-Id: a\r\n"
                            + "Relay-Config-Version: 2\r\nRelay-Service: calls\r\nConnection: close\r\n\r\n");
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("Relay-Declined: configuration");
        }
        assertThat(target.requests()).hasSize(before);
    }

    /** Guards against events that wait at one of the instances, and against work for a caller that has left. */
    @Test
    void eventsArePassedOnAsTheyArriveUntilCallerLeaves() throws Exception {
        publish(Failure.REFUSED);
        CompletableFuture<Void> left = new CompletableFuture<>();
        script = (head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\n\r\nid: 1\ndata: x\n\n");
            if (socket.getInputStream().read() < 0) {
                left.complete(null);
            }
            return false;
        };
        // Served in part only: the caller leaves after the first event.
        long deadline = System.nanoTime() + BOUND.toNanos();
        int status = 0;
        for (int i = 0; status != 200 && System.nanoTime() < deadline; i++) {
            HttpResponse<InputStream> response =
                    partitioned.open(partitioned.request("/stream/x", "s" + i).build());
            status = response.statusCode();
            if (status == 200) {
                assertThat(new String(response.body().readNBytes(15), StandardCharsets.US_ASCII))
                        .isEqualTo("id: 1\ndata: x\n\n");
            }
            response.body().close();
        }
        assertThat(status).isEqualTo(200);
        left.get(BOUND.toSeconds(), TimeUnit.SECONDS);
    }

    /** Guards against taking a body for complete that broke off between the instances. */
    @Test
    void brokenResponseIsNotComplete() throws Exception {
        publish(Failure.REFUSED);
        sendUntilServed("/stream/x");
        script = (head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nContent-Length: 100\r\n\r\nid: 1\ndata: x\n\n");
            RawTarget.reset(socket);
            return false;
        };
        assertThatThrownBy(() -> send("/stream/x", "broken")).isInstanceOf(IOException.class);
    }

    /** Guards against an instance that goes on passing requests on when it reaches the targets again. */
    @Test
    void instanceServesByItselfWhenPathsComeBack() throws Exception {
        publish(Failure.REFUSED);
        sendUntilServed("/once/x");
        assertThat(partitioned.awaitGauge("verbenatally_services_unreachable", 1))
                .isEqualTo(1);
        SourceRevision later = new SourceRevision(Targets.EPOCH, 2_000_000);
        partitioned.server.directory().applyPublished(Targets.list(later, targets(target.address(), null)));
        assertThat(partitioned.awaitGauge("verbenatally_services_unreachable", 0))
                .isZero();
        connected.close();
        assertThat(send("/once/x", "direct").statusCode()).isEqualTo(200);
    }
}
