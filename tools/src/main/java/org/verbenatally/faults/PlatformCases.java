package org.verbenatally.faults;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.verbenatally.history.HistoryRecord.VersionSeen;

/** Cases in which the platform's configuration service is away, stale or offers something wrong. */
final class PlatformCases {
    /** Invariant 7 of the design: an accepted configuration is in force everywhere within this time. */
    private static final Duration IN_FORCE = Duration.ofSeconds(11);

    private PlatformCases() {}

    static List<FaultCase> all() {
        return List.of(
                FaultCase.abay("platform-down-at-start", PlatformCases::downAtStart),
                FaultCase.abay("platform-down-for-long", PlatformCases::downForLong),
                FaultCase.abay("platform-stale-after-restart", PlatformCases::staleAfterRestart),
                FaultCase.abay("platform-flapping", PlatformCases::flapping),
                FaultCase.abay("platform-hangs", PlatformCases::hangs),
                FaultCase.abay("bad-version-offered", PlatformCases::badVersion),
                FaultCase.abay("two-operators-race", PlatformCases::race));
    }

    /** Tells whether each entry reports a version. */
    static boolean everywhere(Trial trial, long version) {
        return IntStream.range(0, trial.cluster().size())
                .allMatch(i -> trial.cluster()
                                .status(trial.cluster().entry(i))
                                .path("configVersion")
                                .asLong()
                        == version);
    }

    private static void expectInForce(Trial trial, long version, long publishedNanos) {
        trial.await("version " + version + " everywhere", () -> everywhere(trial, version));
        long took = (System.nanoTime() - publishedNanos) / 1_000_000;
        trial.figure("in-force-ms", took);
        trial.expect(took <= IN_FORCE.toMillis(), "version %d was in force after %d ms".formatted(version, took));
    }

    private static long publish(Trial trial) {
        return trial.cluster()
                .publish(document ->
                        document.put("entryCount", document.path("entryCount").asInt() + 1));
    }

    private static void downAtStart(Trial trial) {
        long version = publish(trial);
        trial.await("the version is in force", () -> everywhere(trial, version));
        trial.cluster().platformMode("down", 0);
        trial.cluster().killEntry(0);
        trial.cluster().restartEntry(0);
        trial.expect(everywhere(trial, version), "the restarted entry has another version than its peers");
        trial.expectAllDone(trial.sendGuides(4, 40, 0), "guides at the restarted entry");
        trial.expectAllDone(List.of(trial.send(trial.booking(0), 1)), "booking that the restarted entry owns");
    }

    private static void downForLong(Trial trial) {
        trial.cluster().platformMode("down", 0);
        Workload workload = trial.workload().start(20);
        Cluster.sleep(12_000);
        trial.expectAllDone(trial.sendGuides(6, 40, 1), "guides without a platform");
        workload.stop();
        trial.cluster().platformMode("up", 0);
        long start = System.nanoTime();
        expectInForce(trial, publish(trial), start);
    }

    private static void staleAfterRestart(Trial trial) {
        long version = publish(trial);
        trial.await("the version is in force", () -> everywhere(trial, version));
        trial.cluster().platformMode("stale", version - 1);
        for (int i = 0; i < trial.cluster().size(); i++) {
            trial.cluster().killEntry(i);
            trial.cluster().restartEntry(i);
            trial.expect(everywhere(trial, version), "entry " + (i + 1) + " took the stale version");
        }
        trial.expectAllDone(trial.sendGuides(4, 40, 2), "guides after the restarts");
    }

    private static void flapping(Trial trial) {
        Workload workload = trial.workload().start(15);
        long version = 0;
        for (int i = 0; i < 12; i++) {
            trial.cluster().platformMode(i % 3 == 0 ? "down" : i % 3 == 1 ? "up" : "stale", 0);
            if (i % 2 == 0) {
                version = publish(trial);
            }
            Cluster.sleep(300);
        }
        trial.cluster().platformMode("up", 0);
        long start = System.nanoTime();
        expectInForce(trial, version, start);
        workload.stop();
    }

    private static void hangs(Trial trial) {
        trial.cluster().platformMode("hang", 0);
        Workload workload = trial.workload().start(15);
        Cluster.sleep(5_000);
        trial.cluster().killEntry(1);
        trial.cluster().restartEntry(1);
        workload.stop();
        trial.cluster().platformMode("up", 0);
        long start = System.nanoTime();
        long version = publish(trial);
        trial.await("version " + version + " everywhere", () -> everywhere(trial, version));
        // A read that hangs is given up only after its own timeout, so the usual bound starts later here.
        trial.figure("in-force-ms", (System.nanoTime() - start) / 1_000_000);
    }

    private static void badVersion(Trial trial) {
        long good = publish(trial);
        trial.await("the version is in force", () -> everywhere(trial, good));
        trial.cluster().fault("bad-version", Targets.PLATFORM);
        trial.cluster().publishRaw(good + 1, "{\"deployment\": \"abay\", \"version\": " + (good + 1));
        Cluster.sleep(1_500);
        trial.expect(everywhere(trial, good), "a truncated document replaced the good one");
        trial.cluster()
                .publishRaw(good + 2, "{\"deployment\":\"abay\",\"version\":%d,\"targets\":[]}".formatted(good + 2));
        Cluster.sleep(1_500);
        trial.expect(everywhere(trial, good), "a document without kinds replaced the good one");
        trial.expectAllDone(trial.sendGuides(6, 40, 0), "guides under the last good version");
        long start = System.nanoTime();
        trial.cluster().publish(document -> document.put("version", good + 2));
        expectInForce(trial, good + 3, start);
    }

    private static void race(Trial trial) {
        Workload workload = trial.workload().start(15);
        long version = 0;
        for (int i = 0; i < 5; i++) {
            version = publish(trial);
            int count = 100 + i;
            trial.cluster().republish(document -> document.put("entryCount", count));
            Cluster.sleep(trial.random().nextInt(300));
        }
        long last = version;
        trial.await("the same document everywhere", () -> everywhere(trial, last) && digests(trial) == 1);
        workload.stop();
        trial.figure("conflicts", 5);
        trial.expect(digests(trial) == 1, "entries ended with different documents of one version");
    }

    /** Returns how many different documents the entries have in force. */
    private static long digests(Trial trial) {
        Map<String, VersionSeen> last = trial.cluster().history().all(VersionSeen.class).stream()
                .collect(Collectors.toMap(VersionSeen::instance, seen -> seen, (before, after) -> after));
        return last.values().stream().map(VersionSeen::digest).distinct().count();
    }
}
