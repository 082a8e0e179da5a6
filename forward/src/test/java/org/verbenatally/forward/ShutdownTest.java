package org.verbenatally.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownTest {
    private static final Duration CALLER_TIMEOUT = Duration.ofMillis(1_200);

    private final ManualTimer timer = new ManualTimer();
    private final Shutdown shutdown = new Shutdown(timer, Duration.ofSeconds(8));

    private boolean isAcceptingCall() {
        return shutdown.isAccepting(RetrySafety.IDEMPOTENT, CALLER_TIMEOUT);
    }

    /** Guards against accepting a call shortly before the end of the process, which cuts it off. */
    @Test
    void callThatWouldOutliveProcessIsRefused() {
        shutdown.start();
        assertThat(isAcceptingCall()).isTrue();
        timer.advance(Duration.ofMillis(7_700));
        assertThat(isAcceptingCall()).isFalse();
    }

    /**
     * Guards against a long grace period in which generations are accepted after the load balancer has noticed, and
     * then cut off at its end.
     */
    @Test
    void generationThatMayOutliveProcessIsRefusedOnceBalancerHasNoticed() {
        shutdown.setGrace(Duration.ofSeconds(60));
        shutdown.start();
        Duration longest = Duration.ofSeconds(59);
        assertThat(shutdown.isAccepting(RetrySafety.GENERATION, longest)).isTrue();
        timer.advance(Duration.ofSeconds(3));
        assertThat(shutdown.isAccepting(RetrySafety.GENERATION, longest)).isFalse();
        assertThat(shutdown.isAccepting(RetrySafety.GENERATION, Duration.ofSeconds(6)))
                .isTrue();
    }

    /** Guards against an end while a request is open, or just after one has been read. */
    @Test
    void completesOnlyWhenNothingIsOpen() {
        shutdown.onRequestStart();
        var done = shutdown.start();
        timer.advance(Duration.ofSeconds(4));
        shutdown.check();
        shutdown.check();
        assertThat(done).isNotDone();
        shutdown.onRequestEnd();
        shutdown.check();
        assertThat(done).isNotDone();
        assertThat(isAcceptingCall()).isFalse();
        shutdown.check();
        assertThat(done).isDone();
    }

    /** Guards against a process that outlives its grace period and is killed in the middle of a write. */
    @Test
    void completesBeforeGracePeriodEnds() {
        shutdown.onRequestStart();
        var done = shutdown.start();
        timer.advance(Duration.ofMillis(7_800));
        shutdown.check();
        assertThat(done).isDone();
    }
}
