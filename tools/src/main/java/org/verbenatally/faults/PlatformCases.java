package org.verbenatally.faults;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.verbenatally.history.HistoryRecord.VersionReported;

/** Cases in which the platform's configuration service is unavailable, stale or offers an invalid document. */
final class PlatformCases {
    /** Invariant 7 of the design: an accepted configuration is in force at all entries within this time. */
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(11);

    private PlatformCases() {}

    static List<FaultCase> cases() {
        return List.of(
                FaultCase.abay("platform-down-at-start", PlatformCases::platformDownAtStart),
                FaultCase.abay("platform-down-for-long", PlatformCases::platformDownForLong),
                FaultCase.abay("platform-stale-after-restart", PlatformCases::staleAfterRestart),
                FaultCase.abay("platform-flapping", PlatformCases::platformFlapping),
                FaultCase.abay("platform-hangs", PlatformCases::platformHangs),
                FaultCase.abay("bad-version-offered", PlatformCases::badVersion),
                FaultCase.abay("two-operators-race", PlatformCases::twoOperatorsRace));
    }

    /** Returns whether every entry reports the given version as its configuration version. */
    static boolean isInForceEverywhere(Trial trial, long version) {
        return IntStream.range(0, trial.cluster().size())
                .allMatch(i -> trial.cluster()
                                .status(trial.cluster().entry(i))
                                .path("configVersion")
                                .asLong()
                        == version);
    }

    private static void expectInForce(Trial trial, long version, long publishedAtNanos) {
        trial.await("version " + version + " in force at all entries", () -> isInForceEverywhere(trial, version));
        long tookMs = (System.nanoTime() - publishedAtNanos) / 1_000_000;
        trial.recordFigure("in-force-ms", tookMs);
        trial.expect(
                tookMs <= IN_FORCE_LIMIT.toMillis(), "version %d was in force after %d ms".formatted(version, tookMs));
    }

    private static long publish(Trial trial) {
        return trial.cluster()
                .publish(document ->
                        document.put("entryCount", document.path("entryCount").asInt() + 1));
    }

    private static void platformDownAtStart(Trial trial) {
        long version = publish(trial);
        trial.await("the version is in force", () -> isInForceEverywhere(trial, version));
        trial.cluster().setPlatformMode("down", 0);
        trial.cluster().killEntry(0);
        trial.cluster().restartEntry(0);
        trial.expect(isInForceEverywhere(trial, version), "the restarted entry does not have the version of its peers");
        trial.expectAllDone(trial.sendStreams(4, 40, 0), "streams at the restarted entry");
        trial.expectAllDone(
                List.of(trial.send(trial.keyedWork(0), 1)), "non-repeatable call whose key the restarted entry owns");
    }

    private static void platformDownForLong(Trial trial) {
        trial.cluster().setPlatformMode("down", 0);
        Workload workload = trial.workload().start(20);
        Cluster.sleep(12_000);
        trial.expectAllDone(trial.sendStreams(6, 40, 1), "streams while the platform is down");
        workload.stop();
        trial.cluster().setPlatformMode("up", 0);
        long startNanos = System.nanoTime();
        expectInForce(trial, publish(trial), startNanos);
    }

    private static void staleAfterRestart(Trial trial) {
        long version = publish(trial);
        trial.await("the version is in force", () -> isInForceEverywhere(trial, version));
        trial.cluster().setPlatformMode("stale", version - 1);
        for (int i = 0; i < trial.cluster().size(); i++) {
            trial.cluster().killEntry(i);
            trial.cluster().restartEntry(i);
            trial.expect(
                    isInForceEverywhere(trial, version),
                    "entry " + (i + 1) + " does not have the last version after its restart");
        }
        trial.expectAllDone(trial.sendStreams(4, 40, 2), "streams after the restarts");
    }

    private static void platformFlapping(Trial trial) {
        Workload workload = trial.workload().start(15);
        long version = 0;
        for (int i = 0; i < 12; i++) {
            trial.cluster().setPlatformMode(i % 3 == 0 ? "down" : i % 3 == 1 ? "up" : "stale", 0);
            if (i % 2 == 0) {
                version = publish(trial);
            }
            Cluster.sleep(300);
        }
        trial.cluster().setPlatformMode("up", 0);
        long startNanos = System.nanoTime();
        expectInForce(trial, version, startNanos);
        workload.stop();
    }

    private static void platformHangs(Trial trial) {
        trial.cluster().setPlatformMode("hang", 0);
        Workload workload = trial.workload().start(15);
        Cluster.sleep(5_000);
        trial.cluster().killEntry(1);
        trial.cluster().restartEntry(1);
        workload.stop();
        trial.cluster().setPlatformMode("up", 0);
        long startNanos = System.nanoTime();
        long version = publish(trial);
        trial.await("version " + version + " in force at all entries", () -> isInForceEverywhere(trial, version));
        // A read that hangs is cancelled only after its own timeout, so the usual bound would start only then.
        trial.recordFigure("in-force-ms", (System.nanoTime() - startNanos) / 1_000_000);
    }

    private static void badVersion(Trial trial) {
        long good = publish(trial);
        trial.await("the version is in force", () -> isInForceEverywhere(trial, good));
        trial.cluster().recordFault("bad-version", Standins.PLATFORM);
        trial.cluster().publishRaw(good + 1, "{\"deployment\": \"abay\", \"version\": " + (good + 1));
        Cluster.sleep(1_500);
        trial.expect(isInForceEverywhere(trial, good), "a truncated document replaced the valid one");
        trial.cluster()
                .publishRaw(good + 2, "{\"deployment\":\"abay\",\"version\":%d,\"targets\":[]}".formatted(good + 2));
        Cluster.sleep(1_500);
        trial.expect(isInForceEverywhere(trial, good), "a document without kinds replaced the valid one");
        trial.expectAllDone(trial.sendStreams(6, 40, 0), "streams under the last valid version");
        long startNanos = System.nanoTime();
        trial.cluster().publish(document -> document.put("version", good + 2));
        expectInForce(trial, good + 3, startNanos);
    }

    private static void twoOperatorsRace(Trial trial) {
        Workload workload = trial.workload().start(15);
        long version = 0;
        for (int i = 0; i < 5; i++) {
            version = publish(trial);
            int count = 100 + i;
            trial.cluster().publishConflicting(document -> document.put("entryCount", count));
            Cluster.sleep(trial.random().nextInt(300));
        }
        long last = version;
        trial.await(
                "the same document in force at all entries",
                () -> isInForceEverywhere(trial, last) && distinctDigests(trial) == 1);
        workload.stop();
        trial.recordFigure("conflicts", 5);
        trial.expect(distinctDigests(trial) == 1, "entries ended with different documents of one version");
    }

    /** Returns the number of different documents that the entries have in force. */
    private static long distinctDigests(Trial trial) {
        Map<String, VersionReported> last = trial.cluster().history().recordsOfType(VersionReported.class).stream()
                .collect(Collectors.toMap(VersionReported::instance, report -> report, (before, after) -> after));
        return last.values().stream().map(VersionReported::digest).distinct().count();
    }
}
