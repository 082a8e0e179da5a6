package org.verbenatally.entry.caller;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.GenerationId;

/** The engine requests that this entry serves now. Safe for use by several threads. */
final class LiveRuns {
    private final Set<EngineRun> runs = ConcurrentHashMap.newKeySet();
    private final Map<GenerationId, EngineRun> byGeneration = new ConcurrentHashMap<>();

    void add(EngineRun run) {
        runs.add(run);
    }

    void remove(EngineRun run) {
        runs.remove(run);
    }

    /** Names the run that reads a generation, and returns the one that read it before. */
    Optional<EngineRun> attach(GenerationId generation, EngineRun run) {
        return Optional.ofNullable(byGeneration.put(generation, run)).filter(before -> before != run);
    }

    void detach(GenerationId generation, EngineRun run) {
        byGeneration.remove(generation, run);
    }

    Optional<EngineRun> find(GenerationId generation) {
        return Optional.ofNullable(byGeneration.get(generation));
    }

    int count() {
        return runs.size();
    }

    void stopAll(EngineRun.Stop reason) {
        runs.forEach(run -> run.stop(reason));
    }
}
