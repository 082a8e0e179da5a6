package org.verbenatally.entry.caller;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.GenerationId;

/** The engine requests that this entry is serving. Thread-safe. */
final class LiveRuns {
    private final Set<EngineRun> runs = ConcurrentHashMap.newKeySet();
    private final Map<GenerationId, EngineRun> byGeneration = new ConcurrentHashMap<>();

    void add(EngineRun run) {
        runs.add(run);
    }

    void remove(EngineRun run) {
        runs.remove(run);
    }

    /** Registers the run that reads a generation; returns the other run that read it before, if any. */
    Optional<EngineRun> attach(GenerationId generation, EngineRun run) {
        return Optional.ofNullable(byGeneration.put(generation, run)).filter(previous -> previous != run);
    }

    void detach(GenerationId generation, EngineRun run) {
        byGeneration.remove(generation, run);
    }

    Optional<EngineRun> find(GenerationId generation) {
        return Optional.ofNullable(byGeneration.get(generation));
    }

    /** Returns the number of runs. */
    int count() {
        return runs.size();
    }

    void stopAll(EngineRun.StopReason reason) {
        runs.forEach(run -> run.stop(reason));
    }
}
