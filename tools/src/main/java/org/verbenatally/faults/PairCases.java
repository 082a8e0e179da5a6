package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.history.HistoryRecord.Answer;

/** Cases in which two faults hit a working cluster at random moments. Only the invariants are judged. */
final class PairCases {
    private static final String ENGINE = "engine-1";
    private static final int SPREAD_MS = 2_500;

    private PairCases() {}

    /** A fault that can be combined with others and is undone before it returns. */
    private record Injection(String name, Consumer<Trial> apply) {}

    private static final List<Injection> INJECTIONS = List.of(
            new Injection("kill-entry", trial -> {
                trial.cluster().killEntry(0);
                Cluster.sleep(1_000);
                trial.cluster().restartEntry(0);
            }),
            new Injection("stop-entry", trial -> {
                trial.cluster().stopEntry(1);
                trial.cluster().entry(1).process().awaitExit(Trial.LIMIT);
                trial.cluster().restartEntry(1);
            }),
            new Injection("pause-entry", trial -> {
                trial.cluster().fault("pause", "entry-3");
                trial.cluster().entry(2).process().pause();
                Cluster.sleep(3_000);
                trial.cluster().entry(2).process().resume();
            }),
            new Injection("kill-engine", trial -> {
                trial.cluster().killTarget(ENGINE);
                Cluster.sleep(1_500);
                trial.cluster().targets().restart(ENGINE);
            }),
            new Injection("poison", trial -> {
                Work poison = trial.guide(50, "[crash=5]");
                IntStream.range(0, 4).forEach(i -> {
                    trial.cluster().fault("crash-request", "engines");
                    trial.await(trial.send(poison, i % 3));
                });
            }),
            new Injection("platform-down", trial -> {
                trial.cluster().platformMode("down", 0);
                Cluster.sleep(3_000);
                trial.cluster().platformMode("up", 0);
            }),
            new Injection(
                    "publish",
                    trial -> IntStream.range(0, 5).forEach(i -> {
                        trial.cluster().publish(document -> document.put("entryCount", 10 + i));
                        Cluster.sleep(400);
                    })),
            new Injection("silence", trial -> {
                trial.cluster().fault("silence", "all open connections of entry-1");
                trial.cluster().links().silence((from, to) -> from.equals("entry-1") || to.equals("entry-1"));
            }),
            new Injection("partition", trial -> {
                trial.cluster().fault("partition", "entry-3");
                trial.cluster().links().partition(List.of("entry-3"), List.of("entry-1", "entry-2"));
                Cluster.sleep(5_000);
                trial.cluster().links().heal();
            }),
            new Injection("one-way", trial -> {
                trial.cluster().fault("one-way", "entry-2 to engines");
                trial.cluster().links().hold((from, to) -> from.equals("entry-2") && to.startsWith("engine-"));
                Cluster.sleep(3_000);
                trial.cluster().links().heal();
            }),
            new Injection("leaving", trial -> trial.cluster().announceLeaving("engine-2")),
            new Injection("service-resets", trial -> {
                trial.cluster().fault("reset-after-run", "services");
                trial.changeServices("{\"fault\":\"reset-after-run\",\"faultCount\":3}");
            }));

    /** Returns a number of pairs drawn at random. */
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

    /** Returns the pair with a name such as {@code kill-entry+publish}. */
    static Optional<FaultCase> named(String name) {
        String[] parts = name.split("\\+");
        return parts.length != 2
                ? Optional.empty()
                : find(parts[0]).flatMap(first -> find(parts[1]).map(second -> pair(first, second)));
    }

    private static Optional<Injection> find(String name) {
        return INJECTIONS.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    private static FaultCase pair(Injection first, Injection second) {
        return new FaultCase(
                first.name() + "+" + second.name(),
                seed -> ClusterOptions.of("abay", 3, seed).withLinks().withApart(ENGINE),
                trial -> run(trial, first, second));
    }

    private static void run(Trial trial, Injection first, Injection second) {
        Workload workload = trial.workload().start(20);
        List<CompletableFuture<Answer>> copies = new ArrayList<>();
        List<Work> works = new ArrayList<>();
        IntStream.range(0, 9).forEach(i -> works.add(trial.booking(i % 3)));
        List<CompletableFuture<Void>> faults = new ArrayList<>();
        for (Injection each : List.of(first, second)) {
            int delay = trial.random().nextInt(SPREAD_MS);
            faults.add(CompletableFuture.runAsync(
                    () -> {
                        Cluster.sleep(delay);
                        each.apply().accept(trial);
                    },
                    task -> Thread.ofVirtual().start(task)));
        }
        for (Work work : works) {
            IntStream.range(0, 3).forEach(entry -> copies.add(trial.send(work, entry)));
            Cluster.sleep(SPREAD_MS / works.size());
        }
        faults.forEach(CompletableFuture::join);
        works.forEach(work -> IntStream.range(0, 3).forEach(entry -> copies.add(trial.send(work, entry))));
        trial.await(copies);
        workload.stop();
    }
}
