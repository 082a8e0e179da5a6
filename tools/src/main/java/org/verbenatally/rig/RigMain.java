package org.verbenatally.rig;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.apache.commons.cli.CommandLine;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Program;
import org.verbenatally.faults.Ports;
import org.verbenatally.platform.standin.PlatformMessages;
import org.verbenatally.platform.standin.PlatformMessages.InstancePorts;
import org.verbenatally.platform.standin.StoreStandin;

/**
 * Runs instances between callers and misbehaving targets. Exit status 0: all rules held; 1: at least one was broken; 2:
 * the run could not be made.
 */
public final class RigMain {
    private static final Logger LOG = Logger.getLogger(RigMain.class);
    private static final int TARGETS = 3;
    private static final Duration GRACE = Duration.ofSeconds(8);
    private static final Duration FREEZE = Duration.ofMillis(1_500);
    private static final Duration LEAVING = Duration.ofMillis(2_500);
    private static final int MAX_QUIET_MS = 3_000;
    private static final int CHECK_DELAY_MS = 200;

    private final RigOptions options;
    private final RunHistory history = new RunHistory();
    private final List<InstanceProcess> instances = new ArrayList<>();
    private final List<MisbehavingTarget> engines = new ArrayList<>();
    private final Queue<Thread> checks = new ConcurrentLinkedQueue<>();
    private final StoreStandin store;

    private RigMain(RigOptions options) throws IOException {
        this.options = options;
        store = new StoreStandin();
    }

    /** Runs the rig once. */
    public static void main(String[] args) throws Exception {
        System.exit(new Program(
                        "rig",
                        "",
                        "Checks what callers get from instances whose targets misbehave.",
                        RigOptions.options(),
                        RigMain.class)
                .run(args, RigMain::run));
    }

    private static int run(CommandLine line) {
        RigOptions options = RigOptions.of(line);
        try {
            Path folder = Files.createTempDirectory("rig");
            System.out.println("rig: " + options + ", logs in " + folder);
            return new RigMain(options).run(folder);
        } catch (IOException | InterruptedException e) {
            LogEvent.of("rig.failed").with("reason", e.toString()).warn(LOG);
            return Program.USAGE;
        }
    }

    private int run(Path folder) throws IOException, InterruptedException {
        if (options.record().getParent() != null) {
            Files.createDirectories(options.record().getParent());
        }
        try (store;
                PrintWriter record = new PrintWriter(Files.newBufferedWriter(options.record()))) {
            PlatformMessages.publishConfiguration(store);
            for (int i = 1; i <= TARGETS; i++) {
                startTarget("plain-" + i, PlatformMessages.PLAIN_SERVICE);
                engines.add(startTarget("engine-" + i, PlatformMessages.ENGINE_SERVICE));
            }
            startInstances(folder);
            var checker = new RigChecker(history, breach -> record.println(breach.encode()));
            sendRequests(checker);
            if (!options.freezes() && !options.restarts()) {
                checker.checkPauses();
            }
            System.out.println(history.size() + " runs at targets; " + checker.summary());
            return history.size() == 0 ? Program.USAGE : checker.breaches() == 0 ? Program.OK : Program.FAILED;
        } finally {
            instances.forEach(InstanceProcess::close);
        }
    }

    private MisbehavingTarget startTarget(String id, String service) throws IOException {
        var target = new MisbehavingTarget(id, service, options, history);
        target.publish(store, false);
        return target;
    }

    private void startInstances(Path folder) throws IOException, InterruptedException {
        List<InstancePorts> ports = new ArrayList<>();
        for (int i = 1; i <= options.instances(); i++) {
            ports.add(new InstancePorts(
                    "instance-" + i, Ports.findFree(), Ports.findFree(), Ports.findFree(), Ports.findFree()));
        }
        for (InstancePorts each : ports) {
            var settings = PlatformMessages.settings(each, ports, store.address(), GRACE);
            instances.add(new InstanceProcess(each, settings, options.root(), folder));
            instances.getLast().start();
        }
    }

    private void sendRequests(RigChecker checker) throws InterruptedException {
        history.restartClock();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < options.callers(); i++) {
            var caller = new RigCaller(
                    i,
                    options,
                    history,
                    instances,
                    r -> checks.add(Thread.startVirtualThread(() -> check(checker, r))));
            threads.add(Thread.startVirtualThread(caller::run));
        }
        if (options.freezes()) {
            threads.add(
                    disturb("freeze", i -> instances.get(i % instances.size()).freeze(FREEZE)));
        }
        if (options.restarts()) {
            threads.add(
                    disturb("restart", i -> instances.get(i % instances.size()).restart(GRACE)));
        }
        if (options.departures()) {
            threads.add(disturb("departure", this::leaveAndReturn));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        for (Thread check : checks) {
            check.join();
        }
    }

    /** Checks a result once the targets have recorded what they were about to answer. */
    private static void check(RigChecker checker, CallerResult result) {
        try {
            Thread.sleep(CHECK_DELAY_MS);
            checker.check(result);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One disturbance, by its number. */
    @FunctionalInterface
    private interface Disturbance {
        void run(int number) throws IOException, InterruptedException;
    }

    private Thread disturb(String name, Disturbance disturbance) {
        return Thread.startVirtualThread(() -> {
            try {
                for (int i = 0; history.millis() < options.duration().toMillis(); i++) {
                    SplittableRandom random = options.random(name + i);
                    Thread.sleep(random.nextInt(MAX_QUIET_MS));
                    disturbance.run(i);
                }
            } catch (IOException e) {
                LogEvent.of("rig.disturbanceFailed")
                        .with("name", name)
                        .with("reason", e.toString())
                        .warn(LOG);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void leaveAndReturn(int number) throws InterruptedException {
        MisbehavingTarget engine = engines.get(number % engines.size());
        engine.publish(store, true);
        Thread.sleep(LEAVING);
        engine.publish(store, false);
    }
}
