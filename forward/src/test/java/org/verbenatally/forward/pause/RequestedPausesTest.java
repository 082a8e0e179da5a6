package org.verbenatally.forward.pause;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.TargetId;
import org.verbenatally.forward.ForwardTarget;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class RequestedPausesTest {
    private static final ForwardTarget TARGET = target(1);
    private static final Duration PAUSE = Duration.ofSeconds(2);

    private final ManualTimer timer = new ManualTimer();
    private final RequestedPauses pauses = new RequestedPauses(timer);

    private static ForwardTarget target(long startedMs) {
        return new ForwardTarget(
                new TargetId("t"),
                startedMs,
                new ServiceName("s"),
                new Address("127.0.0.1", 1_000),
                new FailureDomain("d"),
                6,
                false,
                0);
    }

    private void refuse(Duration pause) {
        pauses.onRefused(TARGET, PauseRequest.of(pause));
    }

    /** Guards against a shorter pause that replaces a longer one which has not ended. */
    @Test
    void latestEndCounts() {
        refuse(PAUSE);
        refuse(PAUSE.dividedBy(2));
        assertThat(pauses.remaining(TARGET)).isEqualTo(PAUSE);
        timer.advance(PAUSE.minusMillis(1));
        assertThat(pauses.maySend(TARGET)).isFalse();
        assertThat(pauses.tryAcquire(TARGET)).isEmpty();
        timer.advance(Duration.ofMillis(1));
        assertThat(pauses.maySend(TARGET)).isTrue();
    }

    /** Guards against a pause that outlives the run of the target that asked for it. */
    @Test
    void restartedTargetIsNotPaused() {
        refuse(PAUSE);
        assertThat(pauses.maySend(target(2))).isTrue();
        assertThat(pauses.tryAcquire(target(2))).contains(RequestedPauses.Permit.UNLIMITED);
    }

    /** Guards against all waiting requests being sent at the end of a pause, to a target that may still be full. */
    @Test
    void oneRequestTriesTargetAfterPause() {
        refuse(PAUSE);
        timer.advance(PAUSE);
        RequestedPauses.Permit trial = pauses.tryAcquire(TARGET).orElseThrow();
        assertThat(pauses.tryAcquire(TARGET)).isEmpty();
        trial.end();
        RequestedPauses.Permit next = pauses.tryAcquire(TARGET).orElseThrow();
        trial.end();
        assertThat(pauses.tryAcquire(TARGET)).as("while the second trial runs").isEmpty();
        pauses.onAccepted(TARGET);
        next.end();
        assertThat(pauses.tryAcquire(TARGET)).contains(RequestedPauses.Permit.UNLIMITED);
        assertThat(pauses.tryAcquire(TARGET)).contains(RequestedPauses.Permit.UNLIMITED);
    }

    /** Guards against a pause that is ended by a request that the target had accepted before it. */
    @Test
    void earlierRequestDoesNotEndPause() {
        refuse(PAUSE);
        pauses.onAccepted(TARGET);
        assertThat(pauses.maySend(TARGET)).isFalse();
    }

    /** Guards against losing a target for good that asks for an absurd time. */
    @Test
    void pauseIsBounded() {
        refuse(Duration.ofDays(365));
        assertThat(pauses.remaining(TARGET)).isEqualTo(RequestedPauses.MAX_PAUSE);
        assertThat(pauses.pausedCount()).isEqualTo(1);
    }
}
