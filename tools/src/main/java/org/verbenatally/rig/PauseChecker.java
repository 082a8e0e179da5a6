package org.verbenatally.rig;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that an instance sends a target nothing in the pause that the target has asked it for. */
final class PauseChecker {
    /** Time that an instance has to learn of the pause and to end the sends that are under way. */
    static final Duration SETTLING = Duration.ofMillis(500);
    /** Requests that may still reach the target after that. */
    static final int ALLOWED = 2;

    private final Map<Path, List<TargetRun>> runs = new HashMap<>();

    /** The requests of one instance at one target. */
    private record Path(String instance, String target) {}

    /** Adds what a target did with a request that an instance sent it. */
    void add(String instance, TargetRun run) {
        runs.computeIfAbsent(new Path(instance, run.target()), path -> new ArrayList<>())
                .add(run);
    }

    /** Returns how many pauses were not kept. */
    long breaches() {
        return runs.values().stream()
                .mapToLong(list -> list.stream()
                        .filter(run -> run.sound() && !run.answer().pause().isZero())
                        .filter(run -> countWithin(list, run) > ALLOWED)
                        .count())
                .sum();
    }

    private static long countWithin(List<TargetRun> list, TargetRun pausing) {
        long from = pausing.millis() + SETTLING.toMillis();
        long until = pausing.millis() + pausing.answer().pause().toMillis();
        return list.stream()
                .filter(run -> run.millis() >= from && run.millis() < until)
                .count();
    }
}
