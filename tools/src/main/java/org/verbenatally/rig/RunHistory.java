package org.verbenatally.rig;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** What all targets have read and answered. */
final class RunHistory {
    private volatile long start = System.nanoTime();
    private final Map<String, List<TargetRun>> runs = new ConcurrentHashMap<>();
    private final Map<String, TargetRun> byStamp = new ConcurrentHashMap<>();

    /** Sets the start to now. */
    void restartClock() {
        start = System.nanoTime();
    }

    /** Returns the milliseconds since the start. */
    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    /** Records a run; must be called before its answer is sent. */
    void add(TargetRun run) {
        byStamp.put(run.answer().stamp(), run);
        runs.compute(run.answer().requestId(), (id, list) -> {
            List<TargetRun> longer = list == null ? new ArrayList<>() : new ArrayList<>(list);
            longer.add(run);
            return List.copyOf(longer);
        });
    }

    /** Returns the runs of a request in the order in which they were read. */
    List<TargetRun> of(String requestId) {
        return runs.getOrDefault(requestId, List.of());
    }

    Optional<TargetRun> withStamp(String stamp) {
        return Optional.ofNullable(byStamp.get(stamp));
    }

    int size() {
        return byStamp.size();
    }
}
