package org.verbenatally.forward;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.TargetId;

import static org.assertj.core.api.Assertions.assertThat;
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

    /** How connections to an address fail. */
    enum Failure {
        REFUSED,
        HANGING
    }

    @BeforeEach
    void start() throws Exception {
        connected = add(ForwardFixture.joining(new ForwardFixture.Member("connected", "127.0.0.1", List.of())));
        partitioned = add(ForwardFixture.joining(
                new ForwardFixture.Member("partitioned", "127.0.0.2", List.of(connected.peerAddress))));
        connected.configure(1);
        partitioned.configure(1);
        await(() -> connected.server.liveMembers() == 2 && partitioned.server.liveMembers() == 2);
        target = add(new RawTarget((head, out, socket) -> {
            RawTarget.write(
                    out,
                    "HTTP/1.1 200 OK\r\nTest-Id: " + RawTarget.header(head, TestCodec.ID)
                            + "\r\nTest-Signed: yes\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n");
            return true;
        }));
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
        SourceRevision revision = new SourceRevision(Targets.EPOCH, 1_000_000);
        connected.server.directory().applyPublished(Targets.list(revision, targets(target.address(), null)));
        partitioned.server.directory().applyPublished(Targets.list(revision, targets(null, failure)));
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
    @Tag("known-red")
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
}
