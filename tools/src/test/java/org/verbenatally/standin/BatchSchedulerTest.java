package org.verbenatally.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.GenerationId;

import static org.assertj.core.api.Assertions.assertThat;

/** The memory and batch model that policies are judged by. */
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
    void fullBatchKeepsToTheTokenGap() {
        for (int i = 0; i < 40; i++) {
            add("x".repeat(400), 10_000, 0);
        }
        double longest = 0;
        for (int i = 0; i < 200; i++) {
            longest = Math.max(longest, step());
        }
        assertThat(scheduler.running()).isEqualTo(32);
        assertThat(scheduler.waiting()).isEqualTo(8);
        assertThat(longest).isLessThan(54);
        assertThat(step()).isBetween(30.0, 40.0);
    }

    /** Without preemption an engine that overcommits its memory would look as good as one that does not. */
    @Test
    void preemptsTheYoungestOfTheLowestPriorityAndRecomputesIt() {
        change(Map.of("kvTokens", 100, "prefillTokensPerStep", 1_000));
        Sequence high = add("", 60, 5);
        Sequence old = add("", 60, 1);
        Sequence young = add("", 60, 1);
        for (int i = 0; i < 59 && scheduler.preemptions() == 0; i++) {
            step();
        }
        assertThat(List.of(high.preemptions, old.preemptions, young.preemptions))
                .containsExactly(0, 0, 1);
        assertThat(young.state).isEqualTo(Sequence.State.WAITING);
        int before = young.generated;
        while (!scheduler.isIdle()) {
            step();
            assertThat(scheduler.usedTokens()).isLessThanOrEqualTo(100);
        }
        assertThat(before).isBetween(1, 59);
        assertThat(List.of(high.generated, old.generated, young.generated)).containsExactly(60, 60, 60);
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
        double first = step() + step();
        add(prompt, 1, 0);
        assertThat(step()).isLessThan(first / 2);
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
