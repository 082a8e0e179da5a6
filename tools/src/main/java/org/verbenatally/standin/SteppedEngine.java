package org.verbenatally.standin;

import java.util.List;
import java.util.Objects;

import org.verbenatally.core.GenerationId;

/**
 * The batching and memory model of {@link EngineStandin} without clocks and connections, for simulating policies in
 * memory. The caller decides when a step ends. Not thread-safe.
 */
public final class SteppedEngine {
    private final EngineOptions options;
    private final BatchScheduler scheduler;
    private long arrivals;

    /** One generation in the engine. */
    public static final class Generation {
        private final Sequence sequence;

        private Generation(Sequence sequence) {
            this.sequence = sequence;
        }

        /** Returns whether the generation has ended. */
        public boolean isDone() {
            return sequence.isFinal();
        }
    }

    /** Creates an idle engine. */
    public SteppedEngine(EngineOptions options) {
        this.options = Objects.requireNonNull(options, "options");
        this.scheduler = new BatchScheduler(new PrefixCache((type, block) -> {}));
    }

    /** Adds a generation; {@code [len=N]} in the prompt sets the length of its output, in tokens. */
    public Generation add(String organisation, String prompt, int priority, int maxTokens) {
        Sequence sequence = new Sequence(
                GenerationId.random(), organisation, prompt, priority, maxTokens, options.defaultLength(), ++arrivals);
        scheduler.add(sequence);
        return new Generation(sequence);
    }

    /** Starts a step and returns its duration, in milliseconds. */
    public double beginStep() {
        return scheduler.beginStep(options);
    }

    /** Ends the step and returns the number of sequences that produced a token in it. */
    public int endStep() {
        List<Sequence> emitted = scheduler.endStep(options);
        return emitted.size();
    }

    /** Returns the number of tokens that a generation has produced. */
    public int generatedTokens(Generation generation) {
        return generation.sequence.generated;
    }

    /** Returns whether no generation runs or waits. */
    public boolean isIdle() {
        return scheduler.isIdle();
    }

    /** Returns the number of generations in the batch. */
    public int running() {
        return scheduler.running();
    }

    /** Returns the number of generations that wait. */
    public int waiting() {
        return scheduler.waiting();
    }

    /** Returns the number of tokens held in key-value memory. */
    public int usedTokens() {
        return scheduler.usedTokens();
    }

    /** Returns the number of preemptions so far. */
    public long preemptions() {
        return scheduler.preemptions();
    }
}
