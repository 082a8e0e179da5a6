package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Response;
import org.verbenatally.history.HistoryRecord.TokenReceived;

/** Cases in which the entry or the engine of a stream fails. */
final class StreamCases {
    private static final String ENGINE = "engine-1";

    private StreamCases() {}

    static List<FaultCase> cases() {
        return List.of(
                FaultCase.abay("entry-killed-mid-stream", StreamCases::entryKilled),
                FaultCase.aarhus("entry-killed-mid-draft", StreamCases::entryKilled),
                FaultCase.abayWithSeparateTargets(
                        "engine-killed-before-first-token", StreamCases::engineKilledBeforeFirstToken, ENGINE),
                FaultCase.abayWithSeparateTargets(
                        "engine-killed-mid-stream", StreamCases::engineKilledMidStream, ENGINE),
                FaultCase.abayWithSeparateTargets(
                        "engine-killed-at-last-token", StreamCases::engineKilledAtLastToken, ENGINE),
                FaultCase.abayWithSeparateTargets("engine-reclaimed", StreamCases::engineReclaimed, ENGINE),
                FaultCase.abay("slow-reader", StreamCases::slowReader),
                new FaultCase(
                        "engine-killed-during-summaries",
                        seed -> ClusterOptions.of("aarhus", 3, seed).withSeparateTargets("draft-1"),
                        StreamCases::engineKilledDuringSummaries),
                FaultCase.abay("poison-request", trial -> poisonRequest(trial, 0)),
                FaultCase.abay("poison-request-among-others", trial -> poisonRequest(trial, 16)));
    }

    private static void entryKilled(Trial trial) {
        var responses = trial.sendStreams(8, 200, 0);
        trial.awaitTokensOfEachStream(20);
        trial.cluster().killEntry(0);
        trial.expectAllDone(responses, "streams resumed at another entry");
    }

    /** Sends streams to all entries until one has started on the engine that the case kills. */
    private static List<CompletableFuture<Response>> sendUntilStartedOnEngine(Trial trial, int tokens) {
        return trial.sendUntilStarted(ENGINE, () -> trial.streamedWork(tokens));
    }

    private static void engineKilledBeforeFirstToken(Trial trial) {
        trial.cluster().standins().changeOptions(ENGINE, "{\"stepBaseMs\":5000}");
        var responses = sendUntilStartedOnEngine(trial, 40);
        trial.recordFigure("hit", trial.workStartedOn(ENGINE).size());
        trial.cluster().killTarget(ENGINE);
        trial.expectAllDone(responses, "streams before their first token");
    }

    private static void engineKilledMidStream(Trial trial) {
        var responses = sendUntilStartedOnEngine(trial, 200);
        trial.awaitTokensOfEachStream(20);
        Set<String> affected = trial.workStartedOn(ENGINE);
        trial.cluster().killTarget(ENGINE);
        List<Response> completed = trial.await(responses);
        long lost = completed.stream()
                .filter(response -> response.outcome() == Outcome.UNKNOWN && "generation-lost".equals(response.type()))
                .count();
        long done = completed.stream()
                .filter(response -> response.outcome() == Outcome.DONE)
                .count();
        trial.recordFigure("hit", affected.size());
        trial.recordFigure("generation-lost", lost);
        trial.expect(
                lost == affected.size(),
                lost + " streams ended with generation-lost, " + affected.size() + " were affected");
        trial.expect(
                done == completed.size() - affected.size(), done + " of " + completed.size() + " streams were done");
    }

    private static void engineKilledAtLastToken(Trial trial) {
        int tokens = 60;
        var responses = sendUntilStartedOnEngine(trial, tokens);
        trial.await("one of the last two tokens of a stream", () -> {
            Set<String> lastGenerations = trial.cluster().history().recordsOfType(TokenReceived.class).stream()
                    .filter(token -> token.offset() >= tokens - 2)
                    .map(TokenReceived::generation)
                    .collect(Collectors.toSet());
            return trial.events(ENGINE, "start").stream()
                    .anyMatch(start ->
                            lastGenerations.contains(start.path("generation").asText()));
        });
        trial.cluster().killTarget(ENGINE);
        List<Response> completed = trial.await(responses);
        trial.expect(
                completed.stream().allMatch(response -> response.outcome() != null),
                "a stream ended without an outcome");
    }

    private static void engineReclaimed(Trial trial) {
        var responses = sendUntilStartedOnEngine(trial, 60);
        trial.cluster().announceLeaving(ENGINE);
        Workload workload = trial.workload().start(15);
        Cluster.sleep(3_000);
        trial.cluster().killTarget(ENGINE);
        Cluster.sleep(2_000);
        workload.stop();
        trial.expectAllDone(responses, "streams that end within the notice period");
    }

    private static void slowReader(Trial trial) {
        Caller slow = new Caller(trial.cluster(), 60_000).withReadDelay(30);
        WorkItem work = trial.streamedWork(300);
        CompletableFuture<Response> slowResponse = CompletableFuture.supplyAsync(() -> slow.send(work, 0));
        var others = trial.sendStreams(6, 100, 0);
        trial.expectAllDone(others, "streams of other readers");
        trial.expectAllDone(List.of(slowResponse), "stream of the slow reader");
    }

    private static void engineKilledDuringSummaries(Trial trial) {
        var responses = trial.sendUntilStarted("draft-1", () -> trial.bufferedWork(200));
        Cluster.sleep(500);
        trial.recordFigure("hit", trial.workStartedOn("draft-1").size());
        trial.cluster().killTarget("draft-1");
        trial.expectAllDone(responses, "summaries, of which no token was delivered");
    }

    private static void poisonRequest(Trial trial, int otherCount) {
        List<CompletableFuture<Response>> otherResponses = new ArrayList<>();
        IntStream.range(0, otherCount).forEach(i -> otherResponses.add(trial.send(trial.streamedWork(300), i % 3)));
        trial.awaitTokensOfEachStream(1);
        WorkItem poison = trial.streamedWork(50, "[crash=3]");
        int rejections = 0;
        for (int i = 0; i < 12 && rejections < trial.cluster().size(); i++) {
            Response response = trial.await(trial.send(poison, i % 3));
            rejections = "crashes-targets".equals(response.type()) ? rejections + 1 : 0;
            trial.cluster().recordFault("crash-request", "engines");
            Cluster.sleep(500);
        }
        long crashes = trial.cluster().deployment().targets().keySet().stream()
                .mapToLong(id -> trial.events(id.toString(), "crash").size())
                .sum();
        trial.recordFigure("crashes", crashes);
        trial.expect(crashes <= 3, crashes + " engines crashed");
        trial.expect(rejections == trial.cluster().size(), "the request was not rejected by every entry");
        trial.expectAllDone(trial.sendStreams(6, 40, 1), "streams after the crashes");
        List<Response> completed = trial.await(otherResponses);
        trial.recordFigure(
                "others-done",
                completed.stream()
                                .filter(response -> response.outcome() == Outcome.DONE)
                                .count() + "/" + completed.size());
        trial.expect(
                completed.stream().noneMatch(response -> "crashes-targets".equals(response.type())),
                "another request was rejected because of the crashes");
    }
}
