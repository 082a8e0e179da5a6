package org.verbenatally.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.vertx.core.Vertx;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.RouteName;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.cold.ColdMargin;
import org.verbenatally.peer.PeerOptions;
import org.verbenatally.peer.PeerTimings;
import org.verbenatally.time.SystemTimerService;

/** A forwarding instance on loopback with raw targets and one route for each value of {@link RetrySafety}. */
final class ForwardFixture implements AutoCloseable {
    static final ServiceName CALLS = new ServiceName("calls");
    static final ServiceName ENGINES = new ServiceName("engines");
    static final String LOOPBACK = "127.0.0.1";
    /** Longer than any test. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(2);

    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    final Vertx vertx = Vertx.vertx();
    private final SystemTimerService timer = new SystemTimerService();
    final ForwardServer server;
    final Address callers;
    /** Address that its peers connect to. */
    final Address peerAddress;

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<ForwardTarget> targets = new ArrayList<>();
    private final AtomicReference<ForwardDeployment> deployment = new AtomicReference<>();
    private final Duration timeout;
    private final String routeHost;
    private Optional<ServiceSpec.ColdLimit> coldLimit = Optional.empty();
    private int bodyLimit = 65_536;

    ForwardFixture() throws IOException {
        this(TIMEOUT);
    }

    /** Starts an instance; {@code timeout} is that of its routes. */
    ForwardFixture(Duration timeout) throws IOException {
        this(timeout, new TestCodec());
    }

    ForwardFixture(Duration timeout, HttpMessageCodec codec) throws IOException {
        this(timeout, IDLE_TIMEOUT, codec, new BodyMemory());
    }

    ForwardFixture(Duration timeout, Duration idleTimeout, HttpMessageCodec codec, BodyMemory responseMemory)
            throws IOException {
        this(timeout, idleTimeout, codec, responseMemory, Optional.empty());
    }

    /** Starts an instance that follows evacuations if a bound is given. */
    ForwardFixture(
            Duration timeout,
            Duration idleTimeout,
            HttpMessageCodec codec,
            BodyMemory responseMemory,
            Optional<Duration> evacuationBound)
            throws IOException {
        this(
                timeout,
                idleTimeout,
                codec,
                responseMemory,
                evacuationBound,
                new Member("one", LOOPBACK, LOOPBACK, List.of(), Optional.empty()));
    }

    /**
     * Identity of an instance in a fleet.
     *
     * @param name id of the instance
     * @param host loopback address that it listens on
     * @param routeHost host of the requests that its routes are for
     * @param seeds addresses of peers
     * @param relayPort port at which it accepts requests of its peers; empty if they pass none on
     */
    record Member(String name, String host, String routeHost, List<Address> seeds, Optional<Integer> relayPort) {}

    /** Returns a port that is probably unused at all loopback addresses. */
    static int unusedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    /** Starts an instance that joins the fleet of the seeds. */
    static ForwardFixture joining(Member member) throws IOException {
        return new ForwardFixture(TIMEOUT, IDLE_TIMEOUT, new TestCodec(), new BodyMemory(), Optional.empty(), member);
    }

    private ForwardFixture(
            Duration timeout,
            Duration idleTimeout,
            HttpMessageCodec codec,
            BodyMemory responseMemory,
            Optional<Duration> evacuationBound,
            Member member)
            throws IOException {
        this.timeout = timeout;
        this.routeHost = member.routeHost();
        List<Address> addresses = unusedAddresses(member.host(), 3);
        callers = addresses.get(0);
        peerAddress = addresses.get(2);
        server = new ForwardServer(
                new ForwardOptions(
                        callers,
                        addresses.get(1),
                        "/ready",
                        Optional.empty(),
                        peers(member, peerAddress),
                        idleTimeout,
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(2),
                        rule(),
                        evacuationBound,
                        Optional.of(new ColdMargin(1.5, 5)),
                        member.relayPort(),
                        false),
                vertx,
                timer,
                codec,
                responseMemory);
        server.start((source, body) -> deployment.get());
    }

    private static RetryAllowance.Rule rule() {
        return new RetryAllowance.Rule(0.2, Duration.ofSeconds(10), 50);
    }

    private static PeerOptions peers(Member member, Address address) {
        return new PeerOptions(
                new InstanceId(member.name()),
                new FailureDomain("here"),
                "region",
                ForwardDeployment.NAME,
                address.host(),
                address.port(),
                Optional.empty(),
                member.seeds(),
                Optional.empty(),
                Optional.empty(),
                7,
                PeerTimings.standard().dividedBy(20));
    }

    /** Returns different addresses on which nothing listens; Vert.x lets two listeners share one address. */
    private static List<Address> unusedAddresses(String host, int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (sockets.size() < count) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
            }
            return sockets.stream()
                    .map(s -> new Address(s.getInetAddress().getHostAddress(), s.getLocalPort()))
                    .toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    /**
     * Puts a configuration in force; the credential {@code K} belongs to organisation {@code org-K}. Without any,
     * requests need none.
     */
    void configure(long version, String... keys) throws InterruptedException {
        configure(version, keys.length == 0 ? Optional.empty() : Optional.of(organisations(keys)));
    }

    /** Puts a configuration in force in which no organisation has a credential. */
    void configureWithoutKeys(long version) throws InterruptedException {
        configure(version, Optional.of(Map.of()));
    }

    private static Map<String, OrganisationId> organisations(String... keys) {
        return Stream.of(keys).collect(Collectors.toMap(Function.identity(), key -> new OrganisationId("org-" + key)));
    }

    /** Puts a configuration in force that limits cold targets; the deployment allows 1.5 times as much and 5 more. */
    void configureColdLimit(long version, ServiceSpec.ColdLimit limit) throws InterruptedException {
        coldLimit = Optional.of(limit);
        configure(version);
    }

    /** Puts a configuration in force that accepts bodies of up to the given number of bytes. */
    void configureBodyLimit(long version, int bytes) throws InterruptedException {
        bodyLimit = bytes;
        configure(version);
    }

    private void configure(long version, Optional<Map<String, OrganisationId>> credentials)
            throws InterruptedException {
        var engine = new ServiceSpec.EngineTraits(100_000, true, true, 1);
        deployment.set(new ForwardDeployment(
                new ConfigVersion(version),
                List.of(
                        route("once", RetrySafety.AT_MOST_ONCE, CALLS, 1),
                        route("repeat", RetrySafety.IDEMPOTENT, CALLS, 2),
                        route("stream", RetrySafety.GENERATION, ENGINES, 1)),
                List.of(
                        new ServiceSpec(CALLS, 100, Optional.empty(), coldLimit),
                        new ServiceSpec(ENGINES, 100, Optional.of(engine), coldLimit)),
                credentials,
                new ForwardDeployment.CallerLimits(8_192, bodyLimit)));
        server.offerConfig("test", Long.toString(version).getBytes(java.nio.charset.StandardCharsets.UTF_8));
        long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (server.version() < version && System.nanoTime() < deadline) {
            Thread.sleep(5);
        }
    }

    private Route route(String name, RetrySafety retrySafety, ServiceName service, int attempts) {
        return new Route(
                new RouteName(name),
                routeHost,
                "/" + name + "/",
                retrySafety,
                timeout,
                Duration.ofMillis(200),
                0,
                List.of(new Route.Share(service, 1)),
                attempts,
                false,
                retrySafety == RetrySafety.GENERATION ? Optional.of(Duration.ofMillis(200)) : Optional.empty());
    }

    /** Publishes one more target. */
    void publish(String id, ServiceName service, RawTarget target) {
        publish(id, service, target, 0);
    }

    /** Publishes one more target, which is avoided while it is published as cold. */
    void publish(String id, ServiceName service, RawTarget target, long coldMs) {
        publish(id, service, target.address(), coldMs);
    }

    /** Publishes one more target at an address. */
    void publish(String id, ServiceName service, Address address, long coldMs) {
        targets.add(target(id, service, address, false, coldMs));
        server.directory().applyPublished(Targets.list(targets));
    }

    /** Starts an instance that follows evacuations, which have to be complete within the bound. */
    static ForwardFixture withEvacuations(Duration bound) throws IOException {
        return new ForwardFixture(TIMEOUT, IDLE_TIMEOUT, new TestCodec(), new BodyMemory(), Optional.of(bound));
    }

    /** Publishes one more target in the given failure domain. */
    void publishIn(String domain, String id, ServiceName service, RawTarget target) {
        targets.add(new ForwardTarget(
                new TargetId(id), 1, service, target.address(), new FailureDomain(domain), 4, false, 0));
        server.directory().applyPublished(Targets.list(targets));
    }

    private static ForwardTarget target(String id, ServiceName service, Address address, boolean leaving, long coldMs) {
        return new ForwardTarget(new TargetId(id), 1, service, address, new FailureDomain("here"), 4, leaving, coldMs);
    }

    /** Publishes that a target leaves. */
    void leave(String id) {
        targets.replaceAll(t -> t.id().value().equals(id) ? target(id, t.service(), t.address(), true, 0) : t);
        server.directory().applyPublished(Targets.list(targets));
    }

    HttpRequest.Builder request(String path, String id) {
        return HttpRequest.newBuilder(URI.create("http://" + callers + path))
                .header(TestCodec.ID, id)
                .header(TestCodec.CALLER_TIMEOUT, "3000");
    }

    HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request without waiting for the response. */
    CompletableFuture<HttpResponse<String>> sendLater(HttpRequest request) {
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a request and returns the response as soon as its head has arrived. */
    HttpResponse<InputStream> open(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofInputStream());
    }

    /** Waits until a gauge of the metrics page has a value, for at most 20 seconds, and returns what it has then. */
    double awaitGauge(String name, double expected) throws InterruptedException {
        long deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos();
        while (gauge(name) != expected && System.nanoTime() < deadline) {
            Thread.sleep(10);
        }
        return gauge(name);
    }

    private double gauge(String name) {
        return server.metrics()
                .scrape()
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(Double.NaN);
    }

    @Override
    public void close() {
        timer.close();
        vertx.close();
    }
}
