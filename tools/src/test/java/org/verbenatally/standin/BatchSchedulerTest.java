package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.GenerationId;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests of the batch and memory model on which policies are evaluated. */
class BatchSchedulerTest {
    private final List<String> events = new ArrayList<>();
    private final PrefixCache cache = new PrefixCache((type, block) -> events.add(type));
    private final BatchScheduler scheduler = new BatchScheduler(cache);
    private EngineOptions options = EngineOptions.defaults("e1");
    private long arrivals;

    private Sequence add(String prompt, int length, int priority) {
        Sequence sequence = new Sequence(
                GenerationId.random(), "o1", prompt + " [len=" + length + "]", priority, length, 1, ++arrivals);
        scheduler.add(sequence);
        return sequence;
    }

    private double step() {
        double ms = scheduler.beginStep(options);
        scheduler.endStep(options);
        return ms;
    }

    private void change(Map<String, ?> changes) {
        options = OptionRecords.with(options, changes);
    }

    @Test
    void fullBatchMeetsTheTokenGap() {
        for (int i = 0; i < 40; i++) {
            add("x".repeat(400), 10_000, 0);
        }
        double longestMs = 0;
        for (int i = 0; i < 200; i++) {
            longestMs = Math.max(longestMs, step());
        }
        assertThat(scheduler.running()).isEqualTo(32);
        assertThat(scheduler.waiting()).isEqualTo(8);
        assertThat(longestMs).isLessThan(54);
        assertThat(step()).isBetween(30.0, 40.0);
    }

    /** Guards against a model in which overcommitted memory costs nothing because no sequence is preempted. */
    @Test
    void preemptsTheYoungestOfTheLowestPriorityAndRecomputesIt() {
        change(Map.of("kvTokens", 100, "prefillTokensPerStep", 1_000));
        Sequence highPriority = add("", 60, 5);
        Sequence older = add("", 60, 1);
        Sequence youngest = add("", 60, 1);
        for (int i = 0; i < 59 && scheduler.preemptions() == 0; i++) {
            step();
        }
        assertThat(List.of(highPriority.preemptions, older.preemptions, youngest.preemptions))
                .containsExactly(0, 0, 1);
        assertThat(youngest.state).isEqualTo(Sequence.State.WAITING);
        int generatedAtPreemption = youngest.generated;
        while (!scheduler.isIdle()) {
            step();
            assertThat(scheduler.usedTokens()).isLessThanOrEqualTo(100);
        }
        assertThat(generatedAtPreemption).isBetween(1, 59);
        assertThat(List.of(highPriority.generated, older.generated, youngest.generated))
                .containsExactly(60, 60, 60);
        assertThat(scheduler.usedTokens()).isZero();
    }

    @Test
    void startsHigherPriorityFirst() {
        change(Map.of("maxBatch", 1));
        Sequence patient = add("", 2, 1);
        Sequence urgent = add("", 2, 9);
        step();
        assertThat(urgent.generated).isEqualTo(1);
        assertThat(patient.generated).isZero();
    }

    @Test
    void cachedPrefixIsNotProcessedAgainUntilItIsEvicted() {
        String prompt = "y".repeat(4 * 640);
        add(prompt, 1, 0);
        double firstMs = step() + step();
        add(prompt, 1, 0);
        assertThat(step()).isLessThan(firstMs / 2);
        assertThat(cache.tokens()).isEqualTo(640);
        change(Map.of("prefixCacheTokens", 128));
        add(prompt, 1, 0);
        step();
        assertThat(cache.tokens()).isLessThanOrEqualTo(128);
        assertThat(events).contains("stored", "evicted");
    }

    @Test
    void endsALoneSequenceThatFillsTheMemory() {
        change(Map.of("kvTokens", 50));
        Sequence sequence = add("", 100, 0);
        while (!scheduler.isIdle()) {
            step();
        }
        assertThat(sequence.state).isEqualTo(Sequence.State.MEMORY_LIMIT);
        assertThat(scheduler.usedTokens()).isZero();
    }
}
