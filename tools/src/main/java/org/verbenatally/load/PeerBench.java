package org.verbenatally.load;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.sun.management.OperatingSystemMXBean;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.verbenatally.config.ConfigHolder;
import org.verbenatally.config.ConfigReader;
import org.verbenatally.config.Deployment;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.Logging;
import org.verbenatally.core.Program;
import org.verbenatally.core.TargetId;
import org.verbenatally.peer.MemberInfo;
import org.verbenatally.peer.PeerHandler;
import org.verbenatally.peer.PeerOptions;
import org.verbenatally.peer.PeerTimings;
import org.verbenatally.peer.TcpPeerNetwork;
import org.verbenatally.settings.LogSettings;
import org.verbenatally.time.SystemTimerService;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.ForwardCall;
import org.verbenatally.wire.ForwardResult;
import org.verbenatally.wire.KeyTransfer;
import org.verbenatally.wire.Suspect;
import org.verbenatally.wire.TargetLoad;

/**
 * Measures membership, state exchange and configuration dissemination with many members in one process over loopback.
 * Per member it prints CPU as a share of a core, bytes a second in both directions without TCP and IP headers, heap,
 * and the time until a new configuration version is in force everywhere.
 */
public final class PeerBench {
    private static final String DEPLOYMENT = "bench";
    private static final int PUBLISHED_VERSIONS = 3;
    private static final int FULL_FLEET_MEMBERS = 330;
    private static final int FULL_FLEET_TARGETS = 4_100;
    private static final int REGIONS = 7;
    private static final long AWAIT_TIMEOUT_SECONDS = 120;
    private static final double KIB = 1024;

    /** Upper bound of the tokens that a member has in flight at one target. */
    private static final int MAX_TOKENS_PER_TARGET = 4_000;

    private final int seconds;
    private final int warmUp;
    private final long seed;
    private final int targetsInUse;
    private final int targets;
    private final int changesPerSecond;
    private final PrintStream out;

    private PeerBench(CommandLine args, PrintStream out) {
        seconds = Integer.parseInt(args.getOptionValue("seconds", "12"));
        warmUp = Integer.parseInt(args.getOptionValue("warm-up", "10"));
        seed = Long.parseLong(args.getOptionValue("seed", "7"));
        targetsInUse = Integer.parseInt(args.getOptionValue("in-use", "400"));
        targets = Integer.parseInt(args.getOptionValue("targets", String.valueOf(FULL_FLEET_TARGETS)));
        changesPerSecond = Integer.parseInt(args.getOptionValue("changes", "0"));
        this.out = out;
    }

    /**
     * Runs the benchmark; {@code --help} lists the options.
     *
     * @throws Exception if not all members of a fleet are live in time
     */
    public static void main(String[] args) throws Exception {
        var options = new Options()
                .addOption(null, "members", true, "fleet sizes, comma-separated (default 8,32,64,128,330)")
                .addOption(null, "seconds", true, "length of each measurement, in seconds (default 12)")
                .addOption(null, "warm-up", true, "warm-up time before each measurement, in seconds (default 10)")
                .addOption(
                        null,
                        "in-use",
                        true,
                        "maximum number of targets at which each member has requests (default 400)")
                .addOption(null, "targets", true, "number of targets from which members choose (default 4100)")
                .addOption(null, "changes", true, "load changes a second over all members (default 0)")
                .addOption(null, "seed", true, "seed of all random choices (default 7)");
        new Program(
                        "bench-peers",
                        "",
                        "Measures the cost of the control plane by fleet size.",
                        options,
                        PeerBench.class)
                .start(args, PeerBench::run);
    }

    private static int run(CommandLine line) throws Exception {
        var log = new LogSettings();
        log.setLevel(LogSettings.Level.ERROR);
        Logging.configure(log);
        var bench = new PeerBench(line, System.out);
        bench.printHeader();
        for (String n : line.getOptionValue("members", "8,32,64,128,330").split(",")) {
            bench.run(Integer.parseInt(n));
        }
        return Program.OK;
    }

    private void printHeader() {
        out.printf(
                "seed %d, %d s after %d s, at most %d of %d targets in use per member, %d changes of loads a second%n",
                seed, seconds, warmUp, targetsInUse, targets, changesPerSecond);
        out.println(String.join(
                " | ",
                "members",
                "links",
                "CPU % of a core",
                "B/s in+out",
                "heap KiB idle",
                "heap KiB with document",
                "platform reads/s",
                "document KiB",
                "small document: in force everywhere after, CPU and bytes per member",
                "whole document",
                "one line changed"));
    }

    /** A member that reports random in-flight load and receives that of the other members. */
    private static final class Member implements PeerHandler {
        private final ConfigHolder<Deployment> config = new ConfigHolder<>();
        private volatile List<TargetLoad> loads;
        private TcpPeerNetwork<Deployment> peers;

        Member(RandomGenerator random, int targetsInUse, int targets) {
            List<TargetLoad> initialLoads = new ArrayList<>();
            for (int i = 0; i < targetsInUse; i++) {
                initialLoads.add(randomLoad(random, targets));
            }
            loads = initialLoads;
        }

        private static TargetLoad randomLoad(RandomGenerator random, int targets) {
            return new TargetLoad(
                    "engine-" + random.nextInt(targets), 1 + random.nextInt(4), random.nextInt(MAX_TOKENS_PER_TARGET));
        }

        /** Replaces one record of the load at random, as when generations start and end. */
        void changeLoad(RandomGenerator random, int targets) {
            List<TargetLoad> next = new ArrayList<>(loads);
            if (!next.isEmpty()) {
                next.remove(random.nextInt(next.size()));
            }
            next.add(randomLoad(random, targets));
            loads = next;
            peers.onLoadsChanged();
        }

        @Override
        public CompletableFuture<ForwardResult> onForwardedCall(InstanceId from, ForwardCall call) {
            throw new UnsupportedOperationException("the benchmark does not forward calls");
        }

        @Override
        public CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part) {
            throw new UnsupportedOperationException("the benchmark does not transfer keys");
        }

        @Override
        public List<TargetLoad> ownLoads() {
            return loads;
        }

        @Override
        public void onTargetLoads(InstanceId from, List<TargetLoad> loads) {
            // Ignored: the target table is measured with the entry.
        }

        @Override
        public Set<TargetId> leavingTargets() {
            return Set.of();
        }

        @Override
        public void onLeavingTargets(InstanceId from, Set<TargetId> targets) {
            // Ignored, as above.
        }

        @Override
        public List<Suspect> suspects() {
            return List.of();
        }

        @Override
        public void onSuspects(InstanceId from, List<Suspect> suspects) {
            // Ignored, as above.
        }

        @Override
        public void onPeerGone(InstanceId peer) {
            // Ignored, as above.
        }

        long version() {
            return config.deployment().map(d -> d.version().value()).orElse(0L);
        }

        long live() {
            return peers.members().stream()
                    .filter(m -> m.status() == MemberInfo.Status.LIVE)
                    .count();
        }
    }

    /** Totals over all members and for the process at one point in time. */
    private record Totals(long nanos, long cpuNanos, long bytes, long configBytes, long reads, long links) {}

    private void run(int n) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(4));
        TimerService timers = new SystemTimerService();
        var platform = new BenchPlatform(vertx);
        Address address =
                platform.listen().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        platform.publish(1, document(1, 1, 1));
        long heapBefore = usedHeap();
        List<Member> members = start(n, vertx, timers, address);
        try {
            await("all members live", () -> members.stream().allMatch(m -> m.live() == n && m.version() == 1));
            changeLoads(members, timers);
            TimeUnit.SECONDS.sleep(warmUp);
            measure(n, members, platform, heapBefore);
        } finally {
            for (Member m : members) {
                m.peers.close();
            }
            timers.close();
            vertx.close().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        }
    }

    private void changeLoads(List<Member> members, TimerService timers) {
        if (changesPerSecond == 0) {
            return;
        }
        RandomGenerator random = RandomGeneratorFactory.of("Xoshiro256PlusPlus").create(seed);
        timers.every(
                Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) / changesPerSecond),
                tick -> members.get(random.nextInt(members.size())).changeLoad(random, targets));
    }

    private void measure(int n, List<Member> members, BenchPlatform platform, long heapBefore)
            throws InterruptedException {
        Totals before = totals(members, platform);
        TimeUnit.SECONDS.sleep(seconds);
        Totals after = totals(members, platform);
        double time = (after.nanos() - before.nanos()) / 1e9;
        double bytes = (after.bytes() - before.bytes()) / time / n;
        long viewsNotLive = members.stream().mapToLong(m -> n - m.live()).sum();
        double heapIdle = (usedHeap() - heapBefore) / KIB / n;
        Cost smallDocument = publish(2, PUBLISHED_VERSIONS, 1, members, platform);
        Cost fullDocument = publish(2 + PUBLISHED_VERSIONS, 1, n, members, platform);
        Cost delta = publish(3 + PUBLISHED_VERSIONS, PUBLISHED_VERSIONS, n, members, platform);
        out.printf(
                Locale.ROOT,
                "%7d | %5.1f | %.2f | %.0f | %.0f | %.0f | %.1f | %.0f | %s | %s | %s%s%n",
                n,
                (double) after.links() / n,
                (after.cpuNanos() - before.cpuNanos()) / 1e9 / time / n * 100,
                bytes,
                heapIdle,
                (usedHeap() - heapBefore) / KIB / n,
                (after.reads() - before.reads()) / time,
                document(2, targetCount(n), n).length / KIB,
                smallDocument,
                fullDocument,
                delta,
                viewsNotLive == 0 ? "" : " | " + viewsNotLive + " views not live");
    }

    /**
     * Cost of publishing: the longest time until a version was in force everywhere, and the CPU time and the bytes in
     * and out per member and version.
     */
    private record Cost(long propagationMs, double cpuMs, double kib) {
        @Override
        public String toString() {
            return "%d ms, %.1f ms, %.1f KiB".formatted(propagationMs, cpuMs, kib);
        }
    }

    /** Publishes versions one after another, in a document as large as that of a fleet of the given size. */
    private static Cost publish(
            long firstVersion, int versions, int fleetSize, List<Member> members, BenchPlatform platform)
            throws InterruptedException {
        Totals start = totals(members, platform);
        long slowest = 0;
        for (long version = firstVersion; version < firstVersion + versions; version++) {
            byte[] body = document(version, fleetSize == 1 ? 1 : targetCount(fleetSize), fleetSize);
            long published = System.nanoTime();
            platform.publish(version, body);
            long expected = version;
            await("version " + version + " everywhere", () -> members.stream().allMatch(m -> m.version() == expected));
            slowest = Math.max(slowest, (System.nanoTime() - published) / 1_000_000);
        }
        Totals end = totals(members, platform);
        double n = (double) members.size() * versions;
        // Each byte that one member sends is received by another, so the sum of both directions is twice the bytes
        // sent.
        return new Cost(
                slowest,
                (end.cpuNanos() - start.cpuNanos()) / 1e6 / n,
                2 * (end.configBytes() - start.configBytes()) / KIB / n);
    }

    private List<Member> start(int n, Vertx vertx, TimerService timers, Address platform) throws Exception {
        RandomGenerator random = RandomGeneratorFactory.of("Xoshiro256PlusPlus").create(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            var member = new Member(random, Math.min(targetsInUse, targetCount(n)), targets);
            List<Address> seeds =
                    members.stream().limit(3).map(m -> m.peers.address()).toList();
            var options = new PeerOptions(
                    new InstanceId("entry-" + i),
                    new FailureDomain("domain-" + i % 15),
                    "region-" + i % (n >= FULL_FLEET_MEMBERS / 3 ? REGIONS : 1),
                    DEPLOYMENT,
                    "127.0.0.1",
                    0,
                    Optional.empty(),
                    seeds,
                    Optional.of(platform),
                    Optional.empty(),
                    seed + i,
                    PeerTimings.standard());
            member.peers = TcpPeerNetwork.start(options, vertx, timers, member.config, ConfigReader::read, member)
                    .get(10, TimeUnit.SECONDS);
            members.add(member);
        }
        return members;
    }

    /** Returns the number of targets of a fleet of n members, in proportion to the full fleet. */
    private static int targetCount(int n) {
        return n * FULL_FLEET_TARGETS / FULL_FLEET_MEMBERS;
    }

    private static Totals totals(List<Member> members, BenchPlatform platform) {
        var os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long bytes = members.stream()
                .map(m -> m.peers.stats())
                .mapToLong(s -> s.bytesSent() + s.bytesReceived())
                .sum();
        long links = members.stream().mapToLong(m -> m.peers.stats().links()).sum();
        long configBytes = members.stream()
                .mapToLong(m -> m.peers.stats().configBytesSent())
                .sum();
        return new Totals(System.nanoTime(), os.getProcessCpuTime(), bytes, configBytes, platform.reads(), links);
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_TIMEOUT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IllegalStateException(
                        description + ": condition not met within " + AWAIT_TIMEOUT_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /**
     * Returns a configuration document; versions differ in their number and in which one organisation has the share 9.
     */
    private static byte[] document(long version, int targets, int organisations) {
        var text = new StringBuilder("{\"deployment\":\"bench\",\"version\":" + version + ",\n\"entryCount\":330,"
                + "\"kinds\":[{\"name\":\"guide\",\"runsOn\":\"engine\",\"model\":\"m1\",\"urgency\":\"patient\","
                + "\"value\":\"high\",\"repeatable\":true,\"delivery\":\"stream\",\"deadlineMs\":60000}],\n"
                + "\"organisations\":[");
        for (int i = 0; i < organisations; i++) {
            text.append(i == 0 ? "" : ",\n")
                    .append("{\"id\":\"organisation-%d\",\"credentialSha256\":\"%064x\",\"share\":%d}"
                            .formatted(i, i * 0x9E3779B97F4A7C15L, i == version % organisations ? 9 : 1 + i % 7));
        }
        String engine = "{\"id\":\"engine-%d\",\"type\":\"engine\",\"host\":\"10.%d.%d.7\",\"port\":9000,"
                + "\"failureDomain\":\"domain-%d\",\"models\":[{\"model\":\"m1\",\"version\":\"1\"}]}";
        text.append("],\n\"targets\":[");
        for (int i = 0; i < targets; i++) {
            text.append(i == 0 ? "" : ",\n").append(engine.formatted(i, i >> 8, i & 255, i % 15));
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }
}
