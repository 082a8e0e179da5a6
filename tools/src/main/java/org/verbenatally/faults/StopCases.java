package org.verbenatally.faults;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.verbenatally.core.Outcome;
import org.verbenatally.history.HistoryRecord.Answer;
import org.verbenatally.history.HistoryRecord.Leaving;

/** Cases in which an entry stops as planned or a target leaves. */
final class StopCases {
    private static final Duration EXIT_LIMIT = Duration.ofSeconds(45);
    private static final String ENGINE = "engine-1";
    /** Time for the first entry to learn of a departure: report lag, report period and a margin for a busy machine. */
    private static final long LEARN_MS = 2_000;

    /** Time for an entry to learn of it from the platform: lag 0.5 s, read every 2 s, margin for a busy machine. */
    private static final long LIST_MS = 3_500;

    private static final long BOUND_MS = 2_000;

    private StopCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.abay("planned-stop-mid-stream", trial -> stop(trial, 1)),
                FaultCase.aarhus("planned-stop-mid-draft", trial -> stop(trial, 1)),
                new FaultCase(
                        "planned-stop-of-three", seed -> ClusterOptions.of("abay", 5, seed), trial -> stop(trial, 3)),
                new FaultCase(
                        "planned-stop-at-drain-bound",
                        seed -> ClusterOptions.of("abay", 3, seed).withDrainSeconds(5),
                        StopCases::drainBound),
                FaultCase.abay("late-callers-at-stopping-entry", StopCases::lateCallers),
                FaultCase.abay("rolling-replacement", StopCases::rolling),
                FaultCase.abay("target-refuses-as-leaving", StopCases::targetRefuses),
                FaultCase.abay("target-listed-as-leaving", StopCases::targetListed),
                FaultCase.abay("service-leaving", StopCases::serviceLeaving));
    }

    private static void stop(Trial trial, int count) {
        Workload workload = trial.workload().start(15);
        List<CompletableFuture<Answer>> guides = new ArrayList<>();
        List<Work> bookings = new ArrayList<>();
        for (int entry = 0; entry < count; entry++) {
            guides.addAll(trial.sendGuides(4, 400, entry));
            bookings.add(trial.booking(entry));
            bookings.add(trial.booking(entry));
        }
        int survivor = trial.cluster().size() - 1;
        for (int i = 0; i < bookings.size(); i += 2) {
            trial.expectOutcome(trial.await(trial.send(bookings.get(i), survivor)), Outcome.DONE, "booking before");
        }
        trial.awaitTokensOfAll(1);
        IntStream.range(0, count).forEach(trial.cluster()::stopEntry);
        trial.expectAllDone(guides, "guides at the stopping entries");
        for (int entry = 0; entry < count; entry++) {
            ChildProcess process = trial.cluster().entry(entry).process();
            boolean ended = process.awaitExit(EXIT_LIMIT);
            trial.expect(ended, process.name() + " did not end");
            trial.expect(!ended || process.exitStatus() == 0, process.name() + " ended with another status than 0");
        }
        for (Work booking : bookings) {
            trial.expectOutcome(trial.await(trial.send(booking, survivor)), Outcome.DONE, "booking after the stop");
        }
        workload.stop();
        trial.expectNothingUnknown();
    }

    private static void drainBound(Trial trial) {
        var guides = trial.sendGuides(4, 900, 0);
        trial.awaitTokensOfAll(1);
        trial.cluster().stopEntry(0);
        trial.expect(trial.cluster().entry(0).process().awaitExit(EXIT_LIMIT), "the entry did not end");
        trial.expectAllDone(guides, "guides that outlast the bound");
    }

    /** Callers that the load balancer sends to a stopping entry up to its end get a refusal, not a lost connection. */
    private static void lateCallers(Trial trial) {
        var guides = trial.sendGuides(2, 300, 0);
        trial.awaitTokensOfAll(1);
        trial.cluster().stopEntry(0);
        List<CompletableFuture<Answer>> late = new ArrayList<>();
        long end = System.nanoTime() + EXIT_LIMIT.toNanos();
        while (trial.cluster().entry(0).process().isAlive() && System.nanoTime() - end < 0) {
            late.add(trial.send(trial.guide(10), 0));
            Cluster.sleep(10);
        }
        trial.expect(!trial.cluster().entry(0).process().isAlive(), "the entry did not end while callers kept sending");
        trial.expectAllDone(guides, "guides at the stopping entry");
        long lost = trial.await(late).stream()
                .filter(answer -> answer.outcome() == null)
                .count();
        trial.figure("late-callers", late.size());
        trial.expect(lost == 0, lost + " late callers lost their connection");
    }

    private static void rolling(Trial trial) {
        Workload workload = trial.workload().start(10);
        List<Work> bookings = new ArrayList<>();
        for (int entry = 0; entry < trial.cluster().size(); entry++) {
            int owner = entry;
            IntStream.range(0, 3).forEach(i -> bookings.add(trial.booking(owner)));
            var guides = trial.sendGuides(2, 200, entry);
            trial.await(bookings.stream().map(work -> trial.send(work, owner)).toList());
            trial.cluster().stopEntry(entry);
            trial.expect(trial.cluster().entry(entry).process().awaitExit(EXIT_LIMIT), "an entry did not end");
            trial.cluster().restartEntry(entry);
            trial.expectAllDone(guides, "guides at the replaced entry");
        }
        workload.stop();
        for (Work booking : bookings) {
            trial.expectOutcome(trial.await(trial.send(booking, 1)), Outcome.DONE, "booking after the replacement");
        }
        trial.expectNothingUnknown();
    }

    private static void targetRefuses(Trial trial) {
        Workload workload = trial.workload().start(40);
        trial.await("work on " + ENGINE, () -> !trial.startedOn(ENGINE).isEmpty());
        long announced = System.currentTimeMillis();
        trial.cluster().announceLeaving(ENGINE);
        Cluster.sleep(8_000);
        workload.stop();
        long late = trial.events(ENGINE, "refused").stream()
                .filter(event -> event.path("ms").asLong() > announced + LEARN_MS + BOUND_MS)
                .count();
        trial.figure("refused", trial.events(ENGINE, "refused").size());
        trial.expect(late == 0, late + " requests were sent after the bound");
    }

    /** The target itself knows nothing of its departure and would run whatever it gets. */
    private static void targetListed(Trial trial) {
        Workload workload = trial.workload().start(40);
        trial.await("work on " + ENGINE, () -> !trial.startedOn(ENGINE).isEmpty());
        trial.cluster().listTarget(ENGINE, "leaving");
        long announced = System.currentTimeMillis();
        Cluster.sleep(9_000);
        workload.stop();
        long last = trial.events(ENGINE, "start").stream()
                .mapToLong(event -> event.path("ms").asLong())
                .max()
                .orElse(0);
        trial.figure("last-start-after-ms", last - announced);
        trial.cluster().history().add(new Leaving(announced + LIST_MS, ENGINE));
    }

    private static void serviceLeaving(Trial trial) {
        String service = trial.cluster().deployment().targets().keySet().stream()
                .map(Object::toString)
                .filter(id -> !id.startsWith("engine"))
                .sorted()
                .findFirst()
                .orElseThrow();
        trial.cluster().announceLeaving(service);
        List<CompletableFuture<Answer>> answers = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            answers.add(trial.send(i % 2 == 0 ? trial.quote() : trial.booking(i % 3), (i / 2) % 3));
            Cluster.sleep(50);
        }
        trial.expectAllDone(answers, "calls while a service leaves");
    }
}
