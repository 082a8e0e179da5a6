package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;

/** Cases in which connections go silent or links are cut. */
final class LinkCases {
    private static final String FIRST = "entry-1";
    private static final List<String> LEFT =
            List.of("entry-1", "entry-2", "engine-1", "engine-2", "engine-3", "engine-4", "orders-1", "orders-2");
    private static final List<String> RIGHT =
            List.of("entry-3", "engine-5", "engine-6", "engine-7", "engine-8", "orders-3");

    private LinkCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.abayLinks("engine-links-silenced", LinkCases::engineLinks),
                FaultCase.abayLinks("peer-links-silenced", LinkCases::peerLinks),
                FaultCase.abayLinks("caller-links-silenced", LinkCases::callerLinks),
                FaultCase.abayLinks("service-links-silenced", LinkCases::serviceLinks),
                FaultCase.abayLinks("one-way-cut-between-entries", LinkCases::oneWayPeers),
                FaultCase.abayLinks("one-way-cut-from-engine", LinkCases::oneWayEngine),
                FaultCase.abayLinks("partition-and-heal", LinkCases::partition));
    }

    private static void engineLinks(Trial trial) {
        var guides = trial.sendGuides(6, 200, 0);
        trial.awaitTokensOfAll(10);
        trial.cluster().fault("silence", "entry-1 to engines");
        int silenced = trial.cluster().links().silence((from, to) -> from.equals(FIRST) && to.startsWith("engine-"));
        trial.figure("silenced", silenced);
        trial.expect(silenced >= 6, "only " + silenced + " connections were found");
        trial.expectAllDone(guides, "guides after the silence");
    }

    private static void peerLinks(Trial trial) {
        trial.cluster().fault("silence", "entry-1 and peers");
        int silenced =
                trial.cluster().links().silence((from, to) -> from.startsWith("entry-") && to.startsWith("entry-"));
        trial.figure("silenced", silenced);
        trial.expect(silenced >= 3, "only " + silenced + " links were found");
        trial.await("forwarding works again", () -> {
            Work work = trial.booking(0);
            return trial.await(trial.send(work, 1)).outcome() == Outcome.DONE;
        });
    }

    private static void callerLinks(Trial trial) {
        var guides = trial.sendGuides(6, 250, 0);
        trial.awaitTokensOfAll(10);
        trial.cluster().fault("silence", "callers to entry-1");
        int silenced = trial.cluster().links().silence((from, to) -> from.equals("caller") && to.equals(FIRST));
        trial.figure("silenced", silenced);
        trial.expectAllDone(guides, "guides resumed at another entry");
    }

    private static void serviceLinks(Trial trial) {
        trial.changeServices("{\"serviceMs\":1000}");
        List<CompletableFuture<Answer>> quotes = IntStream.range(0, 6)
                .mapToObj(i -> trial.send(trial.quote(), 0))
                .toList();
        List<CompletableFuture<Answer>> bookings = IntStream.range(0, 3)
                .mapToObj(i -> trial.send(trial.booking(0), 0))
                .toList();
        trial.await(
                "calls run",
                () -> IntStream.rangeClosed(1, 3)
                                .mapToLong(i ->
                                        trial.events("orders-" + i, "start").size())
                                .sum()
                        >= 9);
        trial.cluster().fault("silence", "entry-1 to services");
        trial.figure(
                "silenced",
                trial.cluster().links().silence((from, to) -> from.equals(FIRST) && to.startsWith("orders-")));
        trial.expectAllDone(quotes, "idempotent calls after the silence");
        trial.await(bookings)
                .forEach(answer -> trial.expectOutcome(answer, Outcome.UNKNOWN, "booking at its deadline"));
    }

    private static void oneWayPeers(Trial trial) {
        trial.cluster().fault("one-way", "entry-1 to entry-2");
        trial.cluster().links().hold((from, to) -> from.equals(FIRST) && to.equals("entry-2"));
        List<Work> works = new ArrayList<>();
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            works.add(trial.booking(i % 3));
        }
        works.forEach(work -> IntStream.range(0, 3).forEach(entry -> answers.add(trial.send(work, entry))));
        Cluster.sleep(5_000);
        trial.cluster().links().heal();
        trial.await(answers);
        trial.await("forwarding works in both directions", () -> answered(trial, 0, 1) && answered(trial, 1, 0));
        long done = works.stream()
                .filter(work -> trial.await(trial.send(work, 2)).outcome() == Outcome.DONE)
                .count();
        trial.figure("known-afterwards", done + "/" + works.size());
    }

    private static boolean answered(Trial trial, int owner, int entry) {
        return trial.await(trial.send(trial.booking(owner), entry)).outcome() == Outcome.DONE;
    }

    private static void oneWayEngine(Trial trial) {
        List<CompletableFuture<Answer>> guides = new ArrayList<>();
        IntStream.range(0, 12).forEach(i -> guides.add(trial.send(trial.guide(200), i % 3)));
        trial.awaitTokensOfAll(10);
        trial.cluster().fault("one-way", "engine-1 to entries");
        trial.cluster().links().hold((from, to) -> from.equals("engine-1") && to.startsWith("entry-"));
        Cluster.sleep(6_000);
        trial.cluster().links().heal();
        trial.expectAllDone(guides, "guides after the cut");
    }

    private static void partition(Trial trial) {
        List<Work> works = new ArrayList<>();
        IntStream.range(0, 6).forEach(i -> works.add(trial.booking(i % 3)));
        var guides = trial.sendGuides(4, 300, 0);
        guides = new ArrayList<>(guides);
        guides.addAll(trial.sendGuides(4, 300, 2));
        trial.awaitTokensOfAll(5);
        trial.cluster().fault("partition", "entry-3 and half of the targets");
        trial.cluster().links().partition(LEFT, RIGHT);
        Workload workload = trial.workload().start(15);
        List<CompletableFuture<Answer>> copies = new ArrayList<>();
        works.forEach(work -> IntStream.range(0, 3).forEach(entry -> copies.add(trial.send(work, entry))));
        long version = trial.cluster().publish(document -> document.put("entryCount", 9));
        Cluster.sleep(8_000);
        trial.cluster().links().heal();
        trial.cluster().fault("heal", "all");
        trial.await(copies);
        workload.stop();
        trial.figure(
                "guides-done",
                trial.await(guides).stream()
                                .filter(answer -> answer.outcome() == Outcome.DONE)
                                .count()
                        + "/" + guides.size());
        trial.await("version " + version + " everywhere", () -> PlatformCases.everywhere(trial, version));
        trial.await("members are whole again", trial.cluster()::meshed);
        long known = works.stream()
                .filter(work -> trial.await(trial.send(work, 1)).outcome() == Outcome.DONE)
                .count();
        trial.figure("known-afterwards", known + "/" + works.size());
    }
}
