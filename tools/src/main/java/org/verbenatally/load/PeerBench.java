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
import org.verbenatally.peer.Peers;
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
 * and the time in which a new configuration version is in force everywhere.
 */
public final class PeerBench {
    private static final String DEPLOYMENT = "bench";
    private static final int PUBLISHED = 3;
    private static final int FLEET = 330;
    private static final int TARGETS = 4_100;
    private static final int REGIONS = 7;
    private static final long BOUND_SECONDS = 120;
    private static final double KIB = 1024;

    /** Most tokens that a member has at one target. */
    private static final int MOST_TOKENS = 4_000;

    private final int seconds;
    private final int warmUp;
    private final long seed;
    private final int inUse;
    private final int targets;
    private final int changes;
    private final PrintStream out;

    private PeerBench(CommandLine args, PrintStream out) {
        seconds = Integer.parseInt(args.getOptionValue("seconds", "12"));
        warmUp = Integer.parseInt(args.getOptionValue("warm-up", "10"));
        seed = Long.parseLong(args.getOptionValue("seed", "7"));
        inUse = Integer.parseInt(args.getOptionValue("in-use", "400"));
        targets = Integer.parseInt(args.getOptionValue("targets", String.valueOf(TARGETS)));
        changes = Integer.parseInt(args.getOptionValue("changes", "0"));
        this.out = out;
    }

    /**
     * Runs the benchmark; {@code --help} lists the options.
     *
     * @throws Exception if a fleet does not come together
     */
    public static void main(String[] args) throws Exception {
        var options = new Options()
                .addOption(null, "members", true, "fleet sizes, separated by commas (8,32,64,128,330)")
                .addOption(null, "seconds", true, "length of each measurement (12)")
                .addOption(null, "warm-up", true, "time before it (10)")
                .addOption(null, "in-use", true, "targets that each member has requests on, at most (400)")
                .addOption(null, "targets", true, "targets that members draw from (4100)")
                .addOption(null, "changes", true, "changes of loads a second in the whole fleet (0)")
                .addOption(null, "seed", true, "seed of the random choices (7)");
        new Program("bench-peers", "", "Measures the cost of control by fleet size.", options, PeerBench.class)
                .start(args, PeerBench::run);
    }

    private static int run(CommandLine line) throws Exception {
        var log = new LogSettings();
        log.setLevel(LogSettings.Level.ERROR);
        Logging.configure(log);
        var bench = new PeerBench(line, System.out);
        bench.header();
        for (String n : line.getOptionValue("members", "8,32,64,128,330").split(",")) {
            bench.run(Integer.parseInt(n));
        }
        return Program.OK;
    }

    private void header() {
        out.printf(
                "seed %d, %d s after %d s, at most %d of %d targets in use per member, %d changes of loads a second%n",
                seed, seconds, warmUp, inUse, targets, changes);
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

    /** A member that has requests in flight and receives what others have. */
    private static final class Member implements PeerHandler {
        private final ConfigHolder<Deployment> config = new ConfigHolder<>();
        private volatile List<TargetLoad> loads;
        private Peers<Deployment> peers;

        Member(RandomGenerator random, int inUse, int targets) {
            List<TargetLoad> drawn = new ArrayList<>();
            for (int i = 0; i < inUse; i++) {
                drawn.add(load(random, targets));
            }
            loads = drawn;
        }

        private static TargetLoad load(RandomGenerator random, int targets) {
            return new TargetLoad(
                    "engine-" + random.nextInt(targets), 1 + random.nextInt(4), random.nextInt(MOST_TOKENS));
        }

        /** Begins or ends a generation, so that one row of the load changes. */
        void changeLoad(RandomGenerator random, int targets) {
            List<TargetLoad> next = new ArrayList<>(loads);
            if (!next.isEmpty()) {
                next.remove(random.nextInt(next.size()));
            }
            next.add(load(random, targets));
            loads = next;
            peers.loadsChanged();
        }

        @Override
        public CompletableFuture<ForwardResult> onForward(InstanceId from, ForwardCall call) {
            throw new UnsupportedOperationException("the benchmark forwards nothing");
        }

        @Override
        public CompletableFuture<Void> onKeyTransfer(InstanceId from, KeyTransfer part) {
            throw new UnsupportedOperationException("the benchmark transfers nothing");
        }

        @Override
        public List<TargetLoad> targetLoads() {
            return loads;
        }

        @Override
        public void onTargetLoads(InstanceId from, List<TargetLoad> loads) {
            // The target table is measured with the entry.
        }

        @Override
        public Set<TargetId> leavingTargets() {
            return Set.of();
        }

        @Override
        public void onLeavingTargets(InstanceId from, Set<TargetId> targets) {
            // As above.
        }

        @Override
        public List<Suspect> suspects() {
            return List.of();
        }

        @Override
        public void onSuspects(InstanceId from, List<Suspect> suspects) {
            // As above.
        }

        @Override
        public void onGone(InstanceId peer) {
            // As above.
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

    /** Sums over all members and the process at one moment. */
    private record Reading(long nanos, long cpu, long bytes, long config, long reads, long links) {}

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
        if (changes == 0) {
            return;
        }
        RandomGenerator random = RandomGeneratorFactory.of("Xoshiro256PlusPlus").create(seed);
        timers.every(
                Duration.ofNanos(TimeUnit.SECONDS.toNanos(1) / changes),
                tick -> members.get(random.nextInt(members.size())).changeLoad(random, targets));
    }

    private void measure(int n, List<Member> members, BenchPlatform platform, long heapBefore)
            throws InterruptedException {
        Reading before = read(members, platform);
        TimeUnit.SECONDS.sleep(seconds);
        Reading after = read(members, platform);
        double time = (after.nanos() - before.nanos()) / 1e9;
        double bytes = (after.bytes() - before.bytes()) / time / n;
        long falsely = members.stream().mapToLong(m -> n - m.live()).sum();
        double heapIdle = (usedHeap() - heapBefore) / KIB / n;
        Cost small = publish(2, PUBLISHED, 1, members, platform);
        Cost whole = publish(2 + PUBLISHED, 1, n, members, platform);
        Cost delta = publish(3 + PUBLISHED, PUBLISHED, n, members, platform);
        out.printf(
                Locale.ROOT,
                "%7d | %5.1f | %.2f | %.0f | %.0f | %.0f | %.1f | %.0f | %s | %s | %s%s%n",
                n,
                (double) after.links() / n,
                (after.cpu() - before.cpu()) / 1e9 / time / n * 100,
                bytes,
                heapIdle,
                (usedHeap() - heapBefore) / KIB / n,
                (after.reads() - before.reads()) / time,
                document(2, targets(n), n).length / KIB,
                small,
                whole,
                delta,
                falsely == 0 ? "" : " | " + falsely + " views not live");
    }

    /** What publishing costs: the slowest time, and per member and version the CPU and the bytes in and out. */
    private record Cost(long everywhereMs, double cpuMs, double kib) {
        @Override
        public String toString() {
            return "%d ms, %.1f ms, %.1f KiB".formatted(everywhereMs, cpuMs, kib);
        }
    }

    /** Publishes versions one after another, in the document size of a fleet of the given size. */
    private static Cost publish(long first, int versions, int size, List<Member> members, BenchPlatform platform)
            throws InterruptedException {
        Reading start = read(members, platform);
        long slowest = 0;
        for (long version = first; version < first + versions; version++) {
            byte[] body = document(version, size == 1 ? 1 : targets(size), size);
            long published = System.nanoTime();
            platform.publish(version, body);
            long expected = version;
            await("version " + version + " everywhere", () -> members.stream().allMatch(m -> m.version() == expected));
            slowest = Math.max(slowest, (System.nanoTime() - published) / 1_000_000);
        }
        Reading end = read(members, platform);
        double n = (double) members.size() * versions;
        // What one member sends another receives, so in and out together are twice what was sent.
        return new Cost(slowest, (end.cpu() - start.cpu()) / 1e6 / n, 2 * (end.config() - start.config()) / KIB / n);
    }

    private List<Member> start(int n, Vertx vertx, TimerService timers, Address platform) throws Exception {
        RandomGenerator random = RandomGeneratorFactory.of("Xoshiro256PlusPlus").create(seed);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            var member = new Member(random, Math.min(inUse, targets(n)), targets);
            List<Address> seeds =
                    members.stream().limit(3).map(m -> m.peers.address()).toList();
            var options = new PeerOptions(
                    new InstanceId("entry-" + i),
                    new FailureDomain("domain-" + i % 15),
                    "region-" + i % (n >= FLEET / 3 ? REGIONS : 1),
                    DEPLOYMENT,
                    "127.0.0.1",
                    0,
                    Optional.empty(),
                    seeds,
                    Optional.of(platform),
                    Optional.empty(),
                    seed + i,
                    PeerTimings.standard());
            member.peers = Peers.start(options, vertx, timers, member.config, ConfigReader::read, member)
                    .get(10, TimeUnit.SECONDS);
            members.add(member);
        }
        return members;
    }

    /** Returns the targets of a fleet of n members in the proportion of the target size. */
    private static int targets(int n) {
        return n * TARGETS / FLEET;
    }

    private static Reading read(List<Member> members, BenchPlatform platform) {
        var os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        long bytes = members.stream()
                .map(m -> m.peers.stats())
                .mapToLong(s -> s.bytesSent() + s.bytesReceived())
                .sum();
        long links = members.stream().mapToLong(m -> m.peers.stats().links()).sum();
        long config = members.stream()
                .mapToLong(m -> m.peers.stats().configBytesSent())
                .sum();
        return new Reading(System.nanoTime(), os.getProcessCpuTime(), bytes, config, platform.reads(), links);
    }

    private static long usedHeap() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(BOUND_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - until > 0) {
                throw new IllegalStateException(what + ": not within " + BOUND_SECONDS + " s");
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
    }

    /** Returns a document in which one version differs from the next by its number and one organisation. */
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
