package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Continuous batching: decides step by step which sequences run, and accounts for the key-value memory. It knows
 * neither clocks nor connections.
 *
 * <p>Memory for a sequence is taken when it starts (prompt and the tokens it already has) and grows by one token with
 * each decoded token. If it would overflow, the youngest sequence of the lowest priority loses its memory, waits again
 * in its old place, and its tokens are recomputed like a prompt when it restarts.
 */
final class BatchScheduler {
    private static final Comparator<Sequence> ORDER =
            Comparator.comparingInt((Sequence s) -> -s.priority).thenComparingLong(s -> s.arrival);

    private final PrefixCache cache;
    private final List<Sequence> running = new ArrayList<>();
    private final TreeSet<Sequence> waiting = new TreeSet<>(ORDER);
    private List<Sequence> emitting = List.of();
    private int used;
    private long preemptions;

    BatchScheduler(PrefixCache cache) {
        this.cache = cache;
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int usedTokens() {
        return used;
    }

    long preemptions() {
        return preemptions;
    }

    boolean isIdle() {
        return running.isEmpty() && waiting.isEmpty();
    }

    void add(Sequence sequence) {
        waiting.add(sequence);
    }

    /** Takes a sequence out and frees its memory. */
    void remove(Sequence sequence, Sequence.State end) {
        if (!waiting.remove(sequence) && running.remove(sequence)) {
            release(sequence);
        }
        sequence.state = end;
    }

    /** Plans a step and returns its duration in milliseconds. */
    double beginStep(EngineOptions options) {
        makeRoom(options.kvTokens());
        admit(options);
        cache.shrink(Math.min(options.prefixCacheTokens(), options.kvTokens() - used));
        int budget = options.prefillTokensPerStep();
        int prefilled = 0;
        emitting = new ArrayList<>();
        for (Sequence sequence : running) {
            int share = Math.min(budget - prefilled, sequence.prefillLeft);
            boolean prefilling = sequence.prefillLeft > 0;
            sequence.prefillLeft -= share;
            prefilled += share;
            if (sequence.prefillLeft == 0) {
                emitting.add(sequence);
                if (prefilling) {
                    cache.store(
                            sequence.promptBlocks, Math.min(options.prefixCacheTokens(), options.kvTokens() - used));
                }
            }
        }
        return options.stepBaseMs()
                + options.stepPerSequenceMs() * emitting.size()
                + options.prefillPerTokenMs() * prefilled;
    }

    /** Ends the step: each sequence whose prompt is processed has one more token. Returns those sequences. */
    List<Sequence> endStep(EngineOptions options) {
        List<Sequence> emitted = new ArrayList<>(emitting.size());
        for (Sequence sequence : emitting) {
            if (sequence.state != Sequence.State.RUNNING || sequence.prefillLeft > 0) {
                continue;
            }
            sequence.generated++;
            sequence.held++;
            used++;
            emitted.add(sequence);
            if (sequence.generated >= sequence.target) {
                remove(sequence, Sequence.State.DONE);
            } else if (sequence.held >= options.kvTokens()) {
                remove(sequence, Sequence.State.MEMORY_LIMIT);
            }
        }
        emitting = List.of();
        return emitted;
    }

    private void makeRoom(int capacity) {
        while (used + running.size() > capacity && running.size() > 1) {
            Sequence victim = running.stream().max(ORDER).orElseThrow();
            running.remove(victim);
            release(victim);
            victim.state = Sequence.State.WAITING;
            victim.preemptions++;
            preemptions++;
            waiting.add(victim);
        }
    }

    private void admit(EngineOptions options) {
        while (running.size() < options.maxBatch() && !waiting.isEmpty()) {
            Sequence next = waiting.first();
            int room = options.kvTokens() - used - running.size();
            if (next.contextTokens() + 1 > room && !running.isEmpty()) {
                return;
            }
            waiting.remove(next);
            next.held = next.contextTokens();
            used += next.held;
            next.prefillLeft = Math.max(1, next.held - cache.match(next.promptBlocks));
            next.state = Sequence.State.RUNNING;
            running.add(next);
        }
    }

    private void release(Sequence sequence) {
        used -= sequence.held;
        sequence.held = 0;
        sequence.prefillLeft = 0;
    }
}
