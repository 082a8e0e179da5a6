package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Response;

/** Cases in which connections are silenced or links are cut. */
final class LinkCases {
    private static final String FIRST_ENTRY = "entry-1";
    private static final List<String> FIRST_GROUP =
            List.of("entry-1", "entry-2", "engine-1", "engine-2", "engine-3", "engine-4", "orders-1", "orders-2");
    private static final List<String> SECOND_GROUP =
            List.of("entry-3", "engine-5", "engine-6", "engine-7", "engine-8", "orders-3");

    private LinkCases() {}

    static List<FaultCase> cases() {
        return List.of(
                FaultCase.abayWithRelays("engine-links-silenced", LinkCases::engineLinksSilenced),
                FaultCase.abayWithRelays("peer-links-silenced", LinkCases::peerLinksSilenced),
                FaultCase.abayWithRelays("caller-links-silenced", LinkCases::callerLinksSilenced),
                FaultCase.abayWithRelays("service-links-silenced", LinkCases::serviceLinksSilenced),
                FaultCase.abayWithRelays("one-way-cut-between-entries", LinkCases::oneWayCutBetweenEntries),
                FaultCase.abayWithRelays("one-way-cut-from-engine", LinkCases::oneWayCutFromEngine),
                FaultCase.abayWithRelays("partition-and-heal", LinkCases::partitionAndHeal));
    }

    private static void engineLinksSilenced(Trial trial) {
        var streamResponses = trial.sendStreams(6, 200, 0);
        trial.awaitTokensOfEachStream(10);
        trial.cluster().recordFault("silence", "entry-1 to engines");
        int silenced =
                trial.cluster().links().silence((from, to) -> from.equals(FIRST_ENTRY) && to.startsWith("engine-"));
        trial.recordFigure("silenced", silenced);
        trial.expect(silenced >= 6, "only " + silenced + " connections were silenced");
        trial.expectAllDone(streamResponses, "streams after their connections were silenced");
    }

    private static void peerLinksSilenced(Trial trial) {
        trial.cluster().recordFault("silence", "entry-1 and peers");
        int silenced =
                trial.cluster().links().silence((from, to) -> from.startsWith("entry-") && to.startsWith("entry-"));
        trial.recordFigure("silenced", silenced);
        trial.expect(silenced >= 3, "only " + silenced + " connections were silenced");
        trial.await("forwarding works again", () -> {
            WorkItem work = trial.keyedWork(0);
            return trial.await(trial.send(work, 1)).outcome() == Outcome.DONE;
        });
    }

    private static void callerLinksSilenced(Trial trial) {
        var streamResponses = trial.sendStreams(6, 250, 0);
        trial.awaitTokensOfEachStream(10);
        trial.cluster().recordFault("silence", "callers to entry-1");
        int silenced = trial.cluster().links().silence((from, to) -> from.equals("caller") && to.equals(FIRST_ENTRY));
        trial.recordFigure("silenced", silenced);
        trial.expectAllDone(streamResponses, "streams resumed at another entry");
    }

    private static void serviceLinksSilenced(Trial trial) {
        trial.changeServiceOptions("{\"serviceMs\":1000}");
        List<CompletableFuture<Response>> idempotentResponses = IntStream.range(0, 6)
                .mapToObj(i -> trial.send(trial.idempotentWork(), 0))
                .toList();
        List<CompletableFuture<Response>> keyedResponses = IntStream.range(0, 3)
                .mapToObj(i -> trial.send(trial.keyedWork(0), 0))
                .toList();
        trial.await(
                "all calls have started",
                () -> IntStream.rangeClosed(1, 3)
                                .mapToLong(i ->
                                        trial.events("orders-" + i, "start").size())
                                .sum()
                        >= 9);
        trial.cluster().recordFault("silence", "entry-1 to services");
        trial.recordFigure(
                "silenced",
                trial.cluster().links().silence((from, to) -> from.equals(FIRST_ENTRY) && to.startsWith("orders-")));
        trial.expectAllDone(idempotentResponses, "idempotent calls after their connections were silenced");
        trial.await(keyedResponses)
                .forEach(response ->
                        trial.expectOutcome(response, Outcome.UNKNOWN, "non-repeatable call at its deadline"));
    }

    private static void oneWayCutBetweenEntries(Trial trial) {
        trial.cluster().recordFault("one-way", "entry-1 to entry-2");
        trial.cluster().links().hold((from, to) -> from.equals(FIRST_ENTRY) && to.equals("entry-2"));
        List<WorkItem> workItems = new ArrayList<>();
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            workItems.add(trial.keyedWork(i % 3));
        }
        workItems.forEach(work -> IntStream.range(0, 3).forEach(entry -> responses.add(trial.send(work, entry))));
        Cluster.sleep(5_000);
        trial.cluster().links().heal();
        trial.await(responses);
        trial.await("forwarding works in both directions", () -> isForwarded(trial, 0, 1) && isForwarded(trial, 1, 0));
        long done = workItems.stream()
                .filter(work -> trial.await(trial.send(work, 2)).outcome() == Outcome.DONE)
                .count();
        trial.recordFigure("known-afterwards", done + "/" + workItems.size());
    }

    /** Sends a call to an entry that does not own its key; returns whether the call was forwarded and done. */
    private static boolean isForwarded(Trial trial, int owner, int entry) {
        return trial.await(trial.send(trial.keyedWork(owner), entry)).outcome() == Outcome.DONE;
    }

    private static void oneWayCutFromEngine(Trial trial) {
        List<CompletableFuture<Response>> streamResponses = new ArrayList<>();
        IntStream.range(0, 12).forEach(i -> streamResponses.add(trial.send(trial.streamedWork(200), i % 3)));
        trial.awaitTokensOfEachStream(10);
        trial.cluster().recordFault("one-way", "engine-1 to entries");
        trial.cluster().links().hold((from, to) -> from.equals("engine-1") && to.startsWith("entry-"));
        Cluster.sleep(6_000);
        trial.cluster().links().heal();
        trial.expectAllDone(streamResponses, "streams after the cut");
    }

    private static void partitionAndHeal(Trial trial) {
        List<WorkItem> workItems = new ArrayList<>();
        IntStream.range(0, 6).forEach(i -> workItems.add(trial.keyedWork(i % 3)));
        var streamResponses = trial.sendStreams(4, 300, 0);
        streamResponses = new ArrayList<>(streamResponses);
        streamResponses.addAll(trial.sendStreams(4, 300, 2));
        trial.awaitTokensOfEachStream(5);
        trial.cluster().recordFault("partition", "entry-3 and half of the targets");
        trial.cluster().links().partition(FIRST_GROUP, SECOND_GROUP);
        Workload workload = trial.workload().start(15);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        workItems.forEach(work -> IntStream.range(0, 3).forEach(entry -> responses.add(trial.send(work, entry))));
        long version = trial.cluster().publish(document -> document.put("entryCount", 9));
        Cluster.sleep(8_000);
        trial.cluster().links().heal();
        trial.cluster().recordFault("heal", "all");
        trial.await(responses);
        workload.stop();
        trial.recordFigure(
                "guides-done",
                trial.await(streamResponses).stream()
                                .filter(response -> response.outcome() == Outcome.DONE)
                                .count()
                        + "/" + streamResponses.size());
        trial.await(
                "version " + version + " in force at all entries",
                () -> PlatformCases.isInForceEverywhere(trial, version));
        trial.await("all members are listed again", trial.cluster()::isMembershipComplete);
        long known = workItems.stream()
                .filter(work -> trial.await(trial.send(work, 1)).outcome() == Outcome.DONE)
                .count();
        trial.recordFigure("known-afterwards", known + "/" + workItems.size());
    }
}
