package org.verbenatally.rig;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PauseCheckerTest {
    private final PauseChecker checker = new PauseChecker();
    private int stamps;

    private void add(String instance, long millis, Duration pause) {
        Answer answer = Answer.pausing("r", "s" + stamps++, pause);
        checker.add(instance, new TargetRun("target", null, millis, false, answer, List.of(), true));
    }

    /** Guards against a checker that does not see requests within a pause. */
    @Test
    void thirdRequestWithinPauseIsBreach() {
        add("one", 1_000, Duration.ofSeconds(2));
        add("one", 1_500, Duration.ZERO);
        add("one", 2_000, Duration.ZERO);
        assertThat(checker.breaches()).isZero();
        add("one", 2_999, Duration.ZERO);
        assertThat(checker.breaches()).isEqualTo(1);
    }

    /** Guards against a checker that reports requests right after the refusal, after the pause, or of others. */
    @Test
    void requestsOutsideOfPauseAreNoBreach() {
        add("one", 1_000, Duration.ofSeconds(2));
        for (int i = 0; i < 5; i++) {
            add("one", 1_499, Duration.ZERO);
            add("one", 3_000, Duration.ZERO);
            add("other", 2_000, Duration.ZERO);
        }
        assertThat(checker.breaches()).isZero();
    }
}
