package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.TokenSeen;

/** Cases in which the entry or the engine of a stream fails. */
final class StreamCases {
    private static final String ENGINE = "engine-1";

    private StreamCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.abay("entry-killed-mid-stream", StreamCases::entryKilled),
                FaultCase.aarhus("entry-killed-mid-draft", StreamCases::entryKilled),
                FaultCase.abayApart("engine-killed-before-first-token", StreamCases::beforeFirstToken, ENGINE),
                FaultCase.abayApart("engine-killed-mid-stream", StreamCases::midStream, ENGINE),
                FaultCase.abayApart("engine-killed-at-last-token", StreamCases::atLastToken, ENGINE),
                FaultCase.abayApart("engine-reclaimed", StreamCases::reclaimed, ENGINE),
                FaultCase.abay("slow-reader", StreamCases::slowReader),
                new FaultCase(
                        "engine-killed-during-summaries",
                        seed -> ClusterOptions.of("aarhus", 3, seed).withApart("draft-1"),
                        StreamCases::summaries),
                FaultCase.abay("poison-request", trial -> poison(trial, 0)),
                FaultCase.abay("poison-request-among-others", trial -> poison(trial, 16)));
    }

    private static void entryKilled(Trial trial) {
        var answers = trial.sendGuides(8, 200, 0);
        trial.awaitTokensOfAll(20);
        trial.cluster().killEntry(0);
        trial.expectAllDone(answers, "guides resumed elsewhere");
    }

    /** Sends guides to all entries until one runs on the engine that the case kills. */
    private static List<CompletableFuture<Answer>> fill(Trial trial, int tokens) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        IntStream.range(0, 24).forEach(i -> answers.add(trial.send(trial.guide(tokens), i % 3)));
        trial.await("a guide runs on " + ENGINE, () -> !trial.startedOn(ENGINE).isEmpty());
        return answers;
    }

    private static void beforeFirstToken(Trial trial) {
        trial.cluster().targets().change(ENGINE, "{\"stepBaseMs\":5000}");
        var answers = fill(trial, 40);
        trial.figure("hit", trial.startedOn(ENGINE).size());
        trial.cluster().killTarget(ENGINE);
        trial.expectAllDone(answers, "guides without a token");
    }

    private static void midStream(Trial trial) {
        var answers = fill(trial, 200);
        trial.awaitTokensOfAll(20);
        Set<String> hit = trial.startedOn(ENGINE);
        trial.cluster().killTarget(ENGINE);
        List<Answer> ends = trial.await(answers);
        long lost = ends.stream()
                .filter(end -> end.outcome() == Outcome.UNKNOWN && "generation-lost".equals(end.type()))
                .count();
        long done = ends.stream().filter(end -> end.outcome() == Outcome.DONE).count();
        trial.figure("hit", hit.size());
        trial.figure("generation-lost", lost);
        trial.expect(lost == hit.size(), lost + " streams ended with generation-lost, " + hit.size() + " were hit");
        trial.expect(done == ends.size() - hit.size(), done + " of " + ends.size() + " streams were done");
    }

    private static void atLastToken(Trial trial) {
        int tokens = 60;
        var answers = fill(trial, tokens);
        trial.await("a last token", () -> {
            Set<String> last = trial.cluster().history().all(TokenSeen.class).stream()
                    .filter(token -> token.offset() >= tokens - 2)
                    .map(TokenSeen::generation)
                    .collect(Collectors.toSet());
            return trial.events(ENGINE, "start").stream()
                    .anyMatch(start -> last.contains(start.path("generation").asText()));
        });
        trial.cluster().killTarget(ENGINE);
        List<Answer> ends = trial.await(answers);
        trial.expect(ends.stream().allMatch(end -> end.outcome() != null), "a stream ended without an outcome");
    }

    private static void reclaimed(Trial trial) {
        var answers = fill(trial, 60);
        trial.cluster().announceLeaving(ENGINE);
        Workload workload = trial.workload().start(15);
        Cluster.sleep(3_000);
        trial.cluster().killTarget(ENGINE);
        Cluster.sleep(2_000);
        workload.stop();
        trial.expectAllDone(answers, "guides that finish within the notice");
    }

    private static void slowReader(Trial trial) {
        Caller slow = new Caller(trial.cluster(), 60_000).readingSlowly(30);
        Work work = trial.guide(300);
        CompletableFuture<Answer> slowEnd = CompletableFuture.supplyAsync(() -> slow.send(work, 0));
        var others = trial.sendGuides(6, 100, 0);
        trial.expectAllDone(others, "guides of other readers");
        trial.expectAllDone(List.of(slowEnd), "guide of the slow reader");
    }

    private static void summaries(Trial trial) {
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        IntStream.range(0, 24).forEach(i -> answers.add(trial.send(trial.summary(200), i % 3)));
        trial.await(
                "a summary runs on draft-1", () -> !trial.startedOn("draft-1").isEmpty());
        Cluster.sleep(500);
        trial.figure("hit", trial.startedOn("draft-1").size());
        trial.cluster().killTarget("draft-1");
        trial.expectAllDone(answers, "summaries, of which no token was delivered");
    }

    private static void poison(Trial trial, int others) {
        List<CompletableFuture<Answer>> innocent = new ArrayList<>();
        IntStream.range(0, others).forEach(i -> innocent.add(trial.send(trial.guide(300), i % 3)));
        trial.awaitTokensOfAll(1);
        Work poison = trial.guide(50, "[crash=3]");
        int refused = 0;
        for (int i = 0; i < 12 && refused < trial.cluster().size(); i++) {
            Answer answer = trial.await(trial.send(poison, i % 3));
            refused = "crashes-targets".equals(answer.type()) ? refused + 1 : 0;
            trial.cluster().fault("crash-request", "engines");
            Cluster.sleep(500);
        }
        long crashes = trial.cluster().deployment().targets().keySet().stream()
                .mapToLong(id -> trial.events(id.toString(), "crash").size())
                .sum();
        trial.figure("crashes", crashes);
        trial.expect(crashes <= 3, crashes + " engines crashed");
        trial.expect(refused == trial.cluster().size(), "the request was not refused by every entry");
        trial.expectAllDone(trial.sendGuides(6, 40, 1), "guides after the crashes");
        List<Answer> ends = trial.await(innocent);
        trial.figure(
                "others-done",
                ends.stream().filter(end -> end.outcome() == Outcome.DONE).count() + "/" + ends.size());
        trial.expect(
                ends.stream().noneMatch(end -> "crashes-targets".equals(end.type())),
                "an innocent request was refused as crashing");
    }
}
