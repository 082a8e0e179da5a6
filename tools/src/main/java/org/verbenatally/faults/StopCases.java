package org.verbenatally.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Leaving;
import org.verbenatally.history.HistoryRecord.Response;

/** Cases with a planned stop of an entry, and cases in which a target is leaving. */
final class StopCases {
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(45);
    private static final String ENGINE = "engine-1";
    /**
     * Longest time until the first entry is notified that a target is leaving: report lag, report period and a margin
     * for a busy machine.
     */
    private static final long LEAVING_REPORT_DELAY_MS = 2_000;

    /**
     * Longest time until an entry reads from the platform that a target is leaving: a lag of 0.5 s, a read every 2 s
     * and a margin for a busy machine.
     */
    private static final long LEAVING_LISTING_DELAY_MS = 3_500;

    /** A leaving target receives no new requests once this time has passed since the first entry was notified. */
    private static final long NO_NEW_WORK_BOUND_MS = 2_000;

    private StopCases() {}

    static List<FaultCase> cases() {
        return List.of(
                FaultCase.abay("planned-stop-mid-stream", trial -> plannedStop(trial, 1)),
                FaultCase.aarhus("planned-stop-mid-draft", trial -> plannedStop(trial, 1)),
                new FaultCase(
                        "planned-stop-of-three",
                        seed -> ClusterOptions.of("abay", 5, seed),
                        trial -> plannedStop(trial, 3)),
                new FaultCase(
                        "planned-stop-at-drain-bound",
                        seed -> ClusterOptions.of("abay", 3, seed).withDrainSeconds(5),
                        StopCases::stopAtDrainBound),
                FaultCase.abay("late-callers-at-stopping-entry", StopCases::lateCallers),
                FaultCase.abay("rolling-replacement", StopCases::rollingReplacement),
                FaultCase.abay("target-refuses-as-leaving", StopCases::targetRefusesAsLeaving),
                FaultCase.abay("target-listed-as-leaving", StopCases::targetListedAsLeaving),
                FaultCase.abay("service-leaving", StopCases::serviceLeaving));
    }

    private static void plannedStop(Trial trial, int count) {
        Workload workload = trial.workload().start(15);
        List<CompletableFuture<Response>> streamResponses = new ArrayList<>();
        List<WorkItem> workItems = new ArrayList<>();
        for (int entry = 0; entry < count; entry++) {
            streamResponses.addAll(trial.sendStreams(4, 400, entry));
            workItems.add(trial.keyedWork(entry));
            workItems.add(trial.keyedWork(entry));
        }
        int survivor = trial.cluster().size() - 1;
        for (int i = 0; i < workItems.size(); i += 2) {
            trial.expectOutcome(
                    trial.await(trial.send(workItems.get(i), survivor)),
                    Outcome.DONE,
                    "non-repeatable call before the stop");
        }
        trial.awaitTokensOfEachStream(1);
        IntStream.range(0, count).forEach(trial.cluster()::stopEntry);
        trial.expectAllDone(streamResponses, "streams at the stopping entries");
        for (int entry = 0; entry < count; entry++) {
            ChildProcess process = trial.cluster().entry(entry).process();
            boolean ended = process.awaitExit(EXIT_TIMEOUT);
            trial.expect(ended, process.name() + " did not end");
            trial.expect(!ended || process.exitStatus() == 0, process.name() + " ended with a status other than 0");
        }
        for (WorkItem work : workItems) {
            trial.expectOutcome(
                    trial.await(trial.send(work, survivor)), Outcome.DONE, "non-repeatable call after the stop");
        }
        workload.stop();
        trial.expectAllOutcomesKnown();
    }

    private static void stopAtDrainBound(Trial trial) {
        var streamResponses = trial.sendStreams(4, 900, 0);
        trial.awaitTokensOfEachStream(1);
        trial.cluster().stopEntry(0);
        trial.expect(trial.cluster().entry(0).process().awaitExit(EXIT_TIMEOUT), "the entry did not end");
        trial.expectAllDone(streamResponses, "streams that outlast the drain bound");
    }

    /** Callers that the load balancer sends to a stopping entry until it exits are rejected but lose no connection. */
    private static void lateCallers(Trial trial) {
        var streamResponses = trial.sendStreams(2, 300, 0);
        trial.awaitTokensOfEachStream(1);
        trial.cluster().stopEntry(0);
        List<CompletableFuture<Response>> late = new ArrayList<>();
        long deadlineNanos = System.nanoTime() + EXIT_TIMEOUT.toNanos();
        while (trial.cluster().entry(0).process().isAlive() && System.nanoTime() - deadlineNanos < 0) {
            late.add(trial.send(trial.streamedWork(10), 0));
            Cluster.sleep(10);
        }
        trial.expect(!trial.cluster().entry(0).process().isAlive(), "the entry did not end while callers kept sending");
        trial.expectAllDone(streamResponses, "streams at the stopping entry");
        long lost = trial.await(late).stream()
                .filter(response -> response.outcome() == null)
                .count();
        trial.recordFigure("late-callers", late.size());
        trial.expect(lost == 0, lost + " late callers lost their connection");
    }

    private static void rollingReplacement(Trial trial) {
        Workload workload = trial.workload().start(10);
        List<WorkItem> workItems = new ArrayList<>();
        for (int entry = 0; entry < trial.cluster().size(); entry++) {
            int owner = entry;
            IntStream.range(0, 3).forEach(i -> workItems.add(trial.keyedWork(owner)));
            var streamResponses = trial.sendStreams(2, 200, entry);
            trial.await(workItems.stream().map(work -> trial.send(work, owner)).toList());
            trial.cluster().stopEntry(entry);
            trial.expect(trial.cluster().entry(entry).process().awaitExit(EXIT_TIMEOUT), "an entry did not end");
            trial.cluster().restartEntry(entry);
            trial.expectAllDone(streamResponses, "streams at the replaced entry");
        }
        workload.stop();
        for (WorkItem work : workItems) {
            trial.expectOutcome(
                    trial.await(trial.send(work, 1)), Outcome.DONE, "non-repeatable call after the replacement");
        }
        trial.expectAllOutcomesKnown();
    }

    private static void targetRefusesAsLeaving(Trial trial) {
        Workload workload = trial.workload().start(40);
        trial.await("work on " + ENGINE, () -> !trial.workStartedOn(ENGINE).isEmpty());
        long announcedAtMs = System.currentTimeMillis();
        trial.cluster().announceLeaving(ENGINE);
        Cluster.sleep(8_000);
        workload.stop();
        long late = trial.events(ENGINE, "refused").stream()
                .filter(event ->
                        event.path("ms").asLong() > announcedAtMs + LEAVING_REPORT_DELAY_MS + NO_NEW_WORK_BOUND_MS)
                .count();
        trial.recordFigure("refused", trial.events(ENGINE, "refused").size());
        trial.expect(late == 0, late + " requests were sent after the bound");
    }

    /** The target itself is not notified that it is leaving, so it would run all work that it receives. */
    private static void targetListedAsLeaving(Trial trial) {
        Workload workload = trial.workload().start(40);
        trial.await("work on " + ENGINE, () -> !trial.workStartedOn(ENGINE).isEmpty());
        trial.cluster().registerTarget(ENGINE, "leaving");
        long announcedAtMs = System.currentTimeMillis();
        Cluster.sleep(9_000);
        workload.stop();
        long lastStartMs = trial.events(ENGINE, "start").stream()
                .mapToLong(event -> event.path("ms").asLong())
                .max()
                .orElse(0);
        trial.recordFigure("last-start-after-ms", lastStartMs - announcedAtMs);
        trial.cluster().history().add(new Leaving(announcedAtMs + LEAVING_LISTING_DELAY_MS, ENGINE));
    }

    private static void serviceLeaving(Trial trial) {
        String service = trial.cluster().deployment().targets().keySet().stream()
                .map(Object::toString)
                .filter(id -> !id.startsWith("engine"))
                .sorted()
                .findFirst()
                .orElseThrow();
        trial.cluster().announceLeaving(service);
        List<CompletableFuture<Response>> responses = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            responses.add(trial.send(i % 2 == 0 ? trial.idempotentWork() : trial.keyedWork(i % 3), (i / 2) % 3));
            Cluster.sleep(50);
        }
        trial.expectAllDone(responses, "calls while a service is leaving");
    }
}
