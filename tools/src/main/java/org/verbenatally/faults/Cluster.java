package org.verbenatally.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.verbenatally.config.ConfigException;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.Address;
import org.verbenatally.history.History;
import org.verbenatally.history.HistoryRecord.Fault;
import org.verbenatally.history.HistoryRecord.Leaving;
import org.verbenatally.history.HistoryRecord.Stop;
import org.verbenatally.history.HistoryRecord.VersionSeen;

/**
 * A deployment of real size as separate processes on free loopback ports. Closing it ends all processes that it
 * started. Every fault it injects is recorded in its history.
 */
final class Cluster implements AutoCloseable {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
    private static final Duration START_LIMIT = Duration.ofSeconds(60);
    private static final int STATUS_PERIOD_MS = 200;
    /** Section 5.6 of the design: a stopping entry accepts work for this long, because the load balancer lags. */
    private static final long BALANCER_LAG_MS = 3_000;

    /** Distinguishes the relay in front of an entry's peer port from the one in front of its caller port. */
    private static final String PEER = "peer:";

    private final History history = new History();
    private final ClusterOptions options;
    private final Path folder;
    private final ObjectNode document;
    private final Targets targets;
    private final Links links;
    private final List<EntryNode> entries = new ArrayList<>();
    private final Map<String, Address> relays = new ConcurrentHashMap<>();
    private final Map<Integer, Long> stoppedAtMs = new ConcurrentHashMap<>();
    private final AtomicBoolean closed = new AtomicBoolean();
    private Deployment deployment;

    /** Starts all processes and waits until every entry is ready. */
    static Cluster start(ClusterOptions options) {
        Cluster cluster = new Cluster(options);
        try {
            cluster.publish(document -> {});
            cluster.startEntries();
            return cluster;
        } catch (RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    /** Starts the stand-ins only; entries follow with {@link #startEntries}. */
    Cluster(ClusterOptions options) {
        this.options = options;
        try {
            folder = Files.createTempDirectory("verbenatally-");
            document =
                    (ObjectNode) MAPPER.readTree(root().resolve("examples/" + options.deployment() + ".deployment.json")
                            .toFile());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot prepare deployment " + options.deployment(), e);
        }
        document.put("version", 0);
        targets = new Targets(folder, options, document);
        links = options.links() ? new Links(this::names) : null;
        for (JsonNode target : document.path("targets")) {
            String id = target.path("id").asText();
            Address address = via(id, targets.address(id));
            ((ObjectNode) target).put("host", address.host()).put("port", address.port());
        }
    }

    /** Returns the root of the repository, found from where the classes were loaded. */
    private static Path root() {
        try {
            Path classes = Path.of(Cluster.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            return classes.getParent().getParent().getParent();
        } catch (java.net.URISyntaxException e) {
            throw new IllegalStateException("the class location is malformed", e);
        }
    }

    private Map<Long, String> names() {
        Map<Long, String> names = new HashMap<>(targets.names());
        entries.forEach(entry -> {
            if (entry.process() != null) {
                names.put(entry.process().pid(), entry.name());
            }
        });
        names.put(ProcessHandle.current().pid(), "caller");
        return names;
    }

    private Address via(String name, Address real) {
        return links == null ? real : relays.computeIfAbsent(name, each -> links.add(each.replace(PEER, ""), real));
    }

    /** Starts the entries and waits until each is ready. */
    void startEntries() {
        prepareEntries();
        entries.forEach(EntryNode::start);
        entries.forEach(EntryNode::awaitAddresses);
        entries.forEach(this::register);
        await("all entries ready", START_LIMIT, () -> entries.stream().allMatch(EntryNode::isReady));
        await("all entries know each other", START_LIMIT, this::meshed);
        Thread.ofVirtual().name("status").start(this::recordVersions);
    }

    private void prepareEntries() {
        List<Integer> ports = IntStream.range(0, options.entries())
                .mapToObj(i -> Ports.pick())
                .toList();
        List<String> domains = new ArrayList<>();
        document.path("targets")
                .forEach(target -> domains.add(target.path("failureDomain").asText()));
        for (int i = 0; i < options.entries(); i++) {
            String name = "entry-" + (i + 1);
            ObjectNode settings = MAPPER.createObjectNode()
                    .put("instance", name)
                    .put("failureDomain", domains.get(i % domains.size()))
                    .put("region", options.deployment())
                    .put("deployment", options.deployment())
                    .put("drainSeconds", options.drainSeconds())
                    .put("seed", options.seed() + i);
            settings.putObject("callers").put("host", "127.0.0.1").put("port", Ports.pick());
            settings.putObject("operator").put("host", "127.0.0.1").put("port", Ports.pick());
            ObjectNode peers = settings.putObject("peers")
                    .put("host", "127.0.0.1")
                    .put("port", ports.get(i))
                    .put("advertised", peer(i, ports.get(i)).toString());
            for (int other = 0; other < options.entries(); other++) {
                if (other != i) {
                    peers.withArray("seeds").add(peer(other, ports.get(other)).toString());
                }
            }
            Address platform = via(Targets.PLATFORM, targets.address(Targets.PLATFORM));
            settings.putObject("platform").put("host", platform.host()).put("port", platform.port());
            settings.putArray("streamKeys").add("stream-key-of-a-test-deployment-" + options.deployment());
            entries.add(new EntryNode(name, folder, settings));
        }
    }

    private Address peer(int entry, int port) {
        return via(PEER + "entry-" + (entry + 1), new Address("127.0.0.1", port));
    }

    private void register(EntryNode entry) {
        ObjectNode instance = MAPPER.createObjectNode()
                .put("role", "entry")
                .put("host", entry.callers().host())
                .put("port", entry.callers().port())
                .put("peerPort", via(PEER + entry.name(), entry.peers()).port())
                .put("failureDomain", "any")
                .put("state", "live");
        targets.admin(Targets.PLATFORM, "PUT", "/admin/instances/" + entry.name(), Map.of(), instance.toString());
    }

    /** Puts a target on the platform's list of instances. */
    void listTarget(String id, String state) {
        Address address = targets.address(id);
        ObjectNode instance = MAPPER.createObjectNode()
                .put("role", "engine")
                .put("host", address.host())
                .put("port", address.port())
                .put("failureDomain", "any")
                .put("state", state);
        targets.admin(Targets.PLATFORM, "PUT", "/admin/instances/" + id, Map.of(), instance.toString());
    }

    /** Tells whether each entry sees all others as live. */
    boolean meshed() {
        return entries.stream()
                .map(entry -> status(entry).path("members"))
                .allMatch(members -> members.isMissingNode() || members.size() >= entries.size());
    }

    /** Changes the deployment document and publishes it under the next version. */
    long publish(Consumer<ObjectNode> change) {
        change.accept(document);
        long version = document.path("version").asLong() + 1;
        document.put("version", version);
        publishRaw(version, document.toString());
        try {
            deployment = ConfigReader.read(
                    "test document", document.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } catch (ConfigException e) {
            throw new IllegalStateException("the test document is not accepted", e);
        }
        return version;
    }

    /** Publishes another document under the present version, as a second operator does. */
    void republish(Consumer<ObjectNode> change) {
        ObjectNode other = document.deepCopy();
        change.accept(other);
        fault("version-conflict", Targets.PLATFORM);
        publishRaw(other.path("version").asLong(), other.toString());
    }

    /** Publishes any text under a version. */
    void publishRaw(long version, String text) {
        targets.admin(Targets.PLATFORM, "PUT", "/admin/config", Map.of("Config-Version", Long.toString(version)), text);
    }

    /** Changes how the platform answers. */
    void platformMode(String mode, long version) {
        fault("platform-" + mode, Targets.PLATFORM);
        targets.admin(
                Targets.PLATFORM,
                "PUT",
                "/admin/mode",
                Map.of(),
                MAPPER.createObjectNode()
                        .put("mode", mode)
                        .put("version", version)
                        .toString());
    }

    private void recordVersions() {
        while (!closed.get()) {
            entries.forEach(entry -> recordVersion(entry));
            sleep(STATUS_PERIOD_MS);
        }
    }

    private void recordVersion(EntryNode entry) {
        try {
            JsonNode status = status(entry);
            if (status.path("configVersion").asLong() > 0) {
                history.add(new VersionSeen(
                        System.currentTimeMillis(),
                        entry.name(),
                        status.path("configVersion").asLong(),
                        status.path("configDigest").asText()));
            }
        } catch (UncheckedIOException | IllegalStateException e) {
            // The entry is down, paused or stopping; there is nothing to record.
        }
    }

    /** Returns the operator status of an entry. */
    JsonNode status(EntryNode entry) {
        try {
            return MAPPER.readTree(Admin.request(entry.operator(), "GET", "/operator/status", Map.of(), null));
        } catch (IOException e) {
            throw new UncheckedIOException("malformed status of " + entry.name(), e);
        }
    }

    /** Kills an entry process at once. */
    void killEntry(int index) {
        fault("kill", entries.get(index).name());
        entries.get(index).process().kill();
    }

    /** Starts an entry that has ended again, on its old ports, and waits until it is ready. */
    void restartEntry(int index) {
        EntryNode entry = entries.get(index);
        entry.start();
        entry.awaitAddresses();
        await(entry.name() + " ready", START_LIMIT, entry::isReady);
        stoppedAtMs.remove(index);
    }

    /** Tells whether the platform's load balancer may still send to an entry: it notices a stop with a lag. */
    boolean isBalancedTo(int index) {
        return System.currentTimeMillis() - stoppedAtMs.getOrDefault(index, Long.MAX_VALUE) < BALANCER_LAG_MS;
    }

    /** Asks an entry to stop gracefully. */
    void stopEntry(int index) {
        history.add(new Stop(System.currentTimeMillis(), entries.get(index).name()));
        stoppedAtMs.put(index, System.currentTimeMillis());
        entries.get(index).process().terminate();
    }

    /** Kills a target that runs in a process of its own. */
    void killTarget(String id) {
        fault("kill", id);
        targets.process(id).kill();
    }

    /** Makes a target report that it is leaving and refuse new work. */
    void announceLeaving(String id) {
        history.add(new Leaving(System.currentTimeMillis(), id));
        targets.change(id, "{\"leaving\":true}");
    }

    /** Records an injected fault. */
    void fault(String what, String subject) {
        history.add(new Fault(System.currentTimeMillis(), what, subject));
    }

    /** Adds the runs of all targets to the history and returns it. */
    History collect() {
        closed.set(true);
        targets.collect(history);
        return history;
    }

    /** Waits for a condition, and fails with its name when the limit has passed. */
    static void await(String what, Duration limit, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!holds(condition)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("not within " + limit.toSeconds() + " s: " + what);
            }
            sleep(20);
        }
    }

    private static boolean holds(BooleanSupplier condition) {
        try {
            return condition.getAsBoolean();
        } catch (UncheckedIOException | IllegalStateException e) {
            return false;
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    int size() {
        return entries.size();
    }

    EntryNode entry(int index) {
        return entries.get(index);
    }

    String entryName(int index) {
        return entries.get(index).name();
    }

    Address callers(int index) {
        EntryNode entry = entries.get(index);
        return via(entry.name(), entry.callers());
    }

    History history() {
        return history;
    }

    Deployment deployment() {
        return deployment;
    }

    Targets targets() {
        return targets;
    }

    Links links() {
        return links;
    }

    Path folder() {
        return folder;
    }

    @Override
    public void close() {
        closed.set(true);
        if (links != null) {
            links.close();
        }
        entries.forEach(entry -> {
            if (entry.process() != null) {
                entry.process().close();
            }
        });
        if (targets != null) {
            targets.close();
        }
    }
}
