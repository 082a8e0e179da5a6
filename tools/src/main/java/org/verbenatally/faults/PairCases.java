package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.history.HistoryRecord.Response;

/** Cases that inject two faults into a loaded cluster at random times. Only the invariants are checked. */
final class PairCases {
    private static final String ENGINE = "engine-1";
    private static final int FAULT_WINDOW_MS = 2_500;

    private PairCases() {}

    /** A fault that can be combined with others. {@code apply} undoes it, where it can be undone, before it returns. */
    private record Injection(String name, Consumer<Trial> apply) {}

    private static final List<Injection> INJECTIONS = List.of(
            new Injection("kill-entry", trial -> {
                trial.cluster().killEntry(0);
                Cluster.sleep(1_000);
                trial.cluster().restartEntry(0);
            }),
            new Injection("stop-entry", trial -> {
                trial.cluster().stopEntry(1);
                trial.cluster().entry(1).process().awaitExit(Trial.CONDITION_TIMEOUT);
                trial.cluster().restartEntry(1);
            }),
            new Injection("pause-entry", trial -> {
                trial.cluster().recordFault("pause", "entry-3");
                trial.cluster().entry(2).process().pause();
                Cluster.sleep(3_000);
                trial.cluster().entry(2).process().resume();
            }),
            new Injection("kill-engine", trial -> {
                trial.cluster().killTarget(ENGINE);
                Cluster.sleep(1_500);
                trial.cluster().standins().restart(ENGINE);
            }),
            new Injection("poison", trial -> {
                WorkItem poison = trial.streamedWork(50, "[crash=5]");
                IntStream.range(0, 4).forEach(i -> {
                    trial.cluster().recordFault("crash-request", "engines");
                    trial.await(trial.send(poison, i % 3));
                });
            }),
            new Injection("platform-down", trial -> {
                trial.cluster().setPlatformMode("down", 0);
                Cluster.sleep(3_000);
                trial.cluster().setPlatformMode("up", 0);
            }),
            new Injection(
                    "publish",
                    trial -> IntStream.range(0, 5).forEach(i -> {
                        trial.cluster().publish(document -> document.put("entryCount", 10 + i));
                        Cluster.sleep(400);
                    })),
            new Injection("silence", trial -> {
                trial.cluster().recordFault("silence", "all open connections of entry-1");
                trial.cluster().links().silence((from, to) -> from.equals("entry-1") || to.equals("entry-1"));
            }),
            new Injection("partition", trial -> {
                trial.cluster().recordFault("partition", "entry-3");
                trial.cluster().links().partition(List.of("entry-3"), List.of("entry-1", "entry-2"));
                Cluster.sleep(5_000);
                trial.cluster().links().heal();
            }),
            new Injection("one-way", trial -> {
                trial.cluster().recordFault("one-way", "entry-2 to engines");
                trial.cluster().links().hold((from, to) -> from.equals("entry-2") && to.startsWith("engine-"));
                Cluster.sleep(3_000);
                trial.cluster().links().heal();
            }),
            new Injection("leaving", trial -> trial.cluster().announceLeaving("engine-2")),
            new Injection("service-resets", trial -> {
                trial.cluster().recordFault("reset-after-run", "services");
                trial.changeServiceOptions("{\"fault\":\"reset-after-run\",\"faultCount\":3}");
            }));

    /** Returns the given number of random pairs. */
    static List<FaultCase> random(int count, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<FaultCase> cases = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Injection first = INJECTIONS.get(random.nextInt(INJECTIONS.size()));
            Injection second = INJECTIONS.get(random.nextInt(INJECTIONS.size()));
            cases.add(pair(first, second));
        }
        return cases;
    }

    /** Returns the pair with the given name, such as {@code kill-entry+publish}, or empty if there is none. */
    static Optional<FaultCase> byName(String name) {
        String[] parts = name.split("\\+");
        return parts.length != 2
                ? Optional.empty()
                : findInjection(parts[0])
                        .flatMap(first -> findInjection(parts[1]).map(second -> pair(first, second)));
    }

    private static Optional<Injection> findInjection(String name) {
        return INJECTIONS.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    private static FaultCase pair(Injection first, Injection second) {
        return new FaultCase(
                first.name() + "+" + second.name(),
                seed -> ClusterOptions.of("abay", 3, seed).withRelays().withSeparateTargets(ENGINE),
                trial -> run(trial, first, second));
    }

    private static void run(Trial trial, Injection first, Injection second) {
        Workload workload = trial.workload().start(20);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        List<WorkItem> workItems = new ArrayList<>();
        IntStream.range(0, 9).forEach(i -> workItems.add(trial.keyedWork(i % 3)));
        List<CompletableFuture<Void>> injections = new ArrayList<>();
        for (Injection each : List.of(first, second)) {
            int delayMs = trial.random().nextInt(FAULT_WINDOW_MS);
            injections.add(CompletableFuture.runAsync(
                    () -> {
                        Cluster.sleep(delayMs);
                        each.apply().accept(trial);
                    },
                    task -> Thread.ofVirtual().start(task)));
        }
        for (WorkItem work : workItems) {
            IntStream.range(0, 3).forEach(entry -> responses.add(trial.send(work, entry)));
            Cluster.sleep(FAULT_WINDOW_MS / workItems.size());
        }
        injections.forEach(CompletableFuture::join);
        workItems.forEach(work -> IntStream.range(0, 3).forEach(entry -> responses.add(trial.send(work, entry))));
        trial.await(responses);
        workload.stop();
    }
}
