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
import org.verbenatally.history.HistoryRecord.VersionReported;

/**
 * Runs a deployment of real size as separate processes on free loopback ports. Closing the cluster ends all processes
 * that it started. Every fault that it injects is recorded in its history.
 */
final class Cluster implements AutoCloseable {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final int STATUS_INTERVAL_MS = 200;
    /**
     * A stopping entry accepts work for this long, because the load balancer notices the stop with a delay; see section
     * 5.6 of the design.
     */
    private static final long LOAD_BALANCER_LAG_MS = 3_000;

    /** Distinguishes the relay in front of an entry's peer port from the one in front of its caller port. */
    private static final String PEER_RELAY_PREFIX = "peer:";

    private final History history = new History();
    private final ClusterOptions options;
    private final Path folder;
    private final ObjectNode document;
    private final Standins standins;
    private final Links links;
    private final List<EntryNode> entries = new ArrayList<>();
    private final Map<String, Address> relayAddresses = new ConcurrentHashMap<>();
    private final Map<Integer, Long> stopRequestedAtMs = new ConcurrentHashMap<>();
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

    /** Starts the stand-ins only; {@link #startEntries} starts the entries. */
    Cluster(ClusterOptions options) {
        this.options = options;
        try {
            folder = Files.createTempDirectory("verbenatally-");
            document = (ObjectNode) MAPPER.readTree(repositoryRoot()
                    .resolve("examples/" + options.deployment() + ".deployment.json")
                    .toFile());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot prepare deployment " + options.deployment(), e);
        }
        document.put("version", 0);
        standins = new Standins(folder, options, document);
        links = options.relays() ? new Links(this::processNames) : null;
        for (JsonNode target : document.path("targets")) {
            String id = target.path("id").asText();
            Address address = relayedAddress(id, standins.address(id));
            ((ObjectNode) target).put("host", address.host()).put("port", address.port());
        }
    }

    /** Returns the root of the repository, derived from the location of the loaded classes. */
    private static Path repositoryRoot() {
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

    private Map<Long, String> processNames() {
        Map<Long, String> names = new HashMap<>(standins.processNames());
        entries.forEach(entry -> {
            if (entry.process() != null) {
                names.put(entry.process().pid(), entry.name());
            }
        });
        names.put(ProcessHandle.current().pid(), "caller");
        return names;
    }

    /** Returns the address of the relay in front of an address, or that address itself if there are no relays. */
    private Address relayedAddress(String name, Address listenAddress) {
        return links == null
                ? listenAddress
                : relayAddresses.computeIfAbsent(
                        name, each -> links.add(each.replace(PEER_RELAY_PREFIX, ""), listenAddress));
    }

    /** Starts the entries and waits until each is ready. */
    void startEntries() {
        prepareEntries();
        entries.forEach(EntryNode::start);
        entries.forEach(EntryNode::awaitAddresses);
        entries.forEach(this::registerEntry);
        await("all entries ready", START_TIMEOUT, () -> entries.stream().allMatch(EntryNode::isReady));
        await("all entries list each other as members", START_TIMEOUT, this::isMembershipComplete);
        Thread.ofVirtual().name("status").start(this::recordVersions);
    }

    private void prepareEntries() {
        List<Integer> ports = IntStream.range(0, options.entries())
                .mapToObj(i -> Ports.findFree())
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
            settings.putObject("callers").put("host", "127.0.0.1").put("port", Ports.findFree());
            settings.putObject("operator").put("host", "127.0.0.1").put("port", Ports.findFree());
            ObjectNode peers = settings.putObject("peers")
                    .put("host", "127.0.0.1")
                    .put("port", ports.get(i))
                    .put("advertised", relayedPeerAddress(i, ports.get(i)).toString());
            for (int other = 0; other < options.entries(); other++) {
                if (other != i) {
                    peers.withArray("seeds")
                            .add(relayedPeerAddress(other, ports.get(other)).toString());
                }
            }
            Address platform = relayedAddress(Standins.PLATFORM, standins.address(Standins.PLATFORM));
            settings.putObject("platform").put("host", platform.host()).put("port", platform.port());
            settings.putArray("streamKeys").add("stream-key-of-a-test-deployment-" + options.deployment());
            entries.add(new EntryNode(name, folder, settings));
        }
    }

    private Address relayedPeerAddress(int entry, int port) {
        return relayedAddress(PEER_RELAY_PREFIX + "entry-" + (entry + 1), new Address("127.0.0.1", port));
    }

    private void registerEntry(EntryNode entry) {
        ObjectNode instance = MAPPER.createObjectNode()
                .put("role", "entry")
                .put("host", entry.callerAddress().host())
                .put("port", entry.callerAddress().port())
                .put(
                        "peerPort",
                        relayedAddress(PEER_RELAY_PREFIX + entry.name(), entry.peerAddress())
                                .port())
                .put("failureDomain", "any")
                .put("state", "live");
        standins.admin(Standins.PLATFORM, "PUT", "/admin/instances/" + entry.name(), Map.of(), instance.toString());
    }

    /** Adds a target to the platform's list of instances, or changes its state there. */
    void registerTarget(String id, String state) {
        Address address = standins.address(id);
        ObjectNode instance = MAPPER.createObjectNode()
                .put("role", "engine")
                .put("host", address.host())
                .put("port", address.port())
                .put("failureDomain", "any")
                .put("state", state);
        standins.admin(Standins.PLATFORM, "PUT", "/admin/instances/" + id, Map.of(), instance.toString());
    }

    /** Returns whether each entry lists at least as many members as the cluster has entries, or reports no list. */
    boolean isMembershipComplete() {
        return entries.stream()
                .map(entry -> status(entry).path("members"))
                .allMatch(members -> members.isMissingNode() || members.size() >= entries.size());
    }

    /** Changes the deployment document, publishes it under the next version and returns that version. */
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

    /** Publishes a different document under the current version, as a second operator would. */
    void publishConflicting(Consumer<ObjectNode> change) {
        ObjectNode other = document.deepCopy();
        change.accept(other);
        recordFault("version-conflict", Standins.PLATFORM);
        publishRaw(other.path("version").asLong(), other.toString());
    }

    /** Publishes arbitrary text, which need not be a valid document, under a version. */
    void publishRaw(long version, String text) {
        standins.admin(
                Standins.PLATFORM, "PUT", "/admin/config", Map.of("Config-Version", Long.toString(version)), text);
    }

    /** Changes how the platform responds to requests. */
    void setPlatformMode(String mode, long version) {
        recordFault("platform-" + mode, Standins.PLATFORM);
        standins.admin(
                Standins.PLATFORM,
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
            sleep(STATUS_INTERVAL_MS);
        }
    }

    private void recordVersion(EntryNode entry) {
        try {
            JsonNode status = status(entry);
            if (status.path("configVersion").asLong() > 0) {
                history.add(new VersionReported(
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
            return MAPPER.readTree(
                    AdminClient.request(entry.operatorAddress(), "GET", "/operator/status", Map.of(), null));
        } catch (IOException e) {
            throw new UncheckedIOException("malformed status of " + entry.name(), e);
        }
    }

    /** Kills an entry process without a graceful stop. */
    void killEntry(int index) {
        recordFault("kill", entries.get(index).name());
        entries.get(index).process().kill();
    }

    /** Restarts an entry whose process has ended, on the same ports, and waits until it is ready. */
    void restartEntry(int index) {
        EntryNode entry = entries.get(index);
        entry.start();
        entry.awaitAddresses();
        await(entry.name() + " ready", START_TIMEOUT, entry::isReady);
        stopRequestedAtMs.remove(index);
    }

    /** Returns whether the platform's load balancer may still send to an entry; it notices a stop with a delay. */
    boolean isInRotation(int index) {
        return System.currentTimeMillis() - stopRequestedAtMs.getOrDefault(index, Long.MAX_VALUE)
                < LOAD_BALANCER_LAG_MS;
    }

    /** Asks an entry to stop gracefully. */
    void stopEntry(int index) {
        history.add(new Stop(System.currentTimeMillis(), entries.get(index).name()));
        stopRequestedAtMs.put(index, System.currentTimeMillis());
        entries.get(index).process().terminate();
    }

    /** Kills a target that runs in a separate process. */
    void killTarget(String id) {
        recordFault("kill", id);
        standins.process(id).kill();
    }

    /** Makes a target report that it is leaving and reject new work. */
    void announceLeaving(String id) {
        history.add(new Leaving(System.currentTimeMillis(), id));
        standins.changeOptions(id, "{\"leaving\":true}");
    }

    /** Records an injected fault. */
    void recordFault(String fault, String subject) {
        history.add(new Fault(System.currentTimeMillis(), fault, subject));
    }

    /** Adds the runs of all targets to the history and returns it. */
    History collectHistory() {
        closed.set(true);
        standins.addRuns(history);
        return history;
    }

    /**
     * Waits for a condition.
     *
     * @throws IllegalStateException if the condition is not met within the timeout; its message has the description
     */
    static void await(String description, Duration timeout, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        while (!isMet(condition)) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException("not within " + timeout.toSeconds() + " s: " + description);
            }
            sleep(20);
        }
    }

    private static boolean isMet(BooleanSupplier condition) {
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

    Address callerAddress(int index) {
        EntryNode entry = entries.get(index);
        return relayedAddress(entry.name(), entry.callerAddress());
    }

    History history() {
        return history;
    }

    Deployment deployment() {
        return deployment;
    }

    Standins standins() {
        return standins;
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
        if (standins != null) {
            standins.close();
        }
    }
}
