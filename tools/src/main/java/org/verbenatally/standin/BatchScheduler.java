package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/**
 * Scheduler for continuous batching: selects the sequences that run in each step and accounts for the key-value memory.
 * It depends on neither clocks nor connections.
 *
 * <p>A sequence takes memory for its prompt and the tokens generated so far when it starts, and for one more token with
 * each decoded token. If the memory would overflow, the youngest sequence of the lowest priority is preempted: its
 * memory is freed, it returns to its former position in the wait queue, and its tokens are recomputed like a prompt
 * when it restarts.
 */
final class BatchScheduler {
    private static final Comparator<Sequence> SCHEDULING_ORDER =
            Comparator.comparingInt((Sequence s) -> -s.priority).thenComparingLong(s -> s.arrival);

    private final PrefixCache cache;
    private final List<Sequence> running = new ArrayList<>();
    private final TreeSet<Sequence> waiting = new TreeSet<>(SCHEDULING_ORDER);
    private List<Sequence> decoding = List.of();
    private int usedTokens;
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
        return usedTokens;
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

    /** Removes a sequence, frees its memory and sets its final state. */
    void remove(Sequence sequence, Sequence.State finalState) {
        if (!waiting.remove(sequence) && running.remove(sequence)) {
            release(sequence);
        }
        sequence.state = finalState;
    }

    /** Starts a step and returns its duration, in milliseconds. */
    double beginStep(EngineOptions options) {
        preemptIfFull(options.kvTokens());
        admit(options);
        cache.shrink(Math.min(options.prefixCacheTokens(), options.kvTokens() - usedTokens));
        int prefillBudget = options.prefillTokensPerStep();
        int totalPrefillTokens = 0;
        decoding = new ArrayList<>();
        for (Sequence sequence : running) {
            int prefillTokens = Math.min(prefillBudget - totalPrefillTokens, sequence.remainingPrefillTokens);
            boolean inPrefill = sequence.remainingPrefillTokens > 0;
            sequence.remainingPrefillTokens -= prefillTokens;
            totalPrefillTokens += prefillTokens;
            if (sequence.remainingPrefillTokens == 0) {
                decoding.add(sequence);
                if (inPrefill) {
                    cache.store(
                            sequence.promptBlocks,
                            Math.min(options.prefixCacheTokens(), options.kvTokens() - usedTokens));
                }
            }
        }
        return options.stepBaseMs()
                + options.stepPerSequenceMs() * decoding.size()
                + options.prefillPerTokenMs() * totalPrefillTokens;
    }

    /** Ends the step: adds one token to each sequence whose prompt is processed. Returns these sequences. */
    List<Sequence> endStep(EngineOptions options) {
        List<Sequence> emitted = new ArrayList<>(decoding.size());
        for (Sequence sequence : decoding) {
            if (sequence.state != Sequence.State.RUNNING || sequence.remainingPrefillTokens > 0) {
                continue;
            }
            sequence.generated++;
            sequence.heldTokens++;
            usedTokens++;
            emitted.add(sequence);
            if (sequence.generated >= sequence.outputTokens) {
                remove(sequence, Sequence.State.DONE);
            } else if (sequence.heldTokens >= options.kvTokens()) {
                remove(sequence, Sequence.State.MEMORY_LIMIT);
            }
        }
        decoding = List.of();
        return emitted;
    }

    private void preemptIfFull(int capacityTokens) {
        while (usedTokens + running.size() > capacityTokens && running.size() > 1) {
            Sequence victim = running.stream().max(SCHEDULING_ORDER).orElseThrow();
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
            int freeTokens = options.kvTokens() - usedTokens - running.size();
            if (next.contextTokens() + 1 > freeTokens && !running.isEmpty()) {
                return;
            }
            waiting.remove(next);
            next.heldTokens = next.contextTokens();
            usedTokens += next.heldTokens;
            next.remainingPrefillTokens = Math.max(1, next.heldTokens - cache.match(next.promptBlocks));
            next.state = Sequence.State.RUNNING;
            running.add(next);
        }
    }

    private void release(Sequence sequence) {
        usedTokens -= sequence.heldTokens;
        sequence.heldTokens = 0;
        sequence.remainingPrefillTokens = 0;
    }
}
