package org.verbenatally.forward;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.verbenatally.time.ManualTimer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.verbenatally.forward.Targets.SERVICE;

class WaitQueueTest {
    private final ManualTimer timer = new ManualTimer();
    private final WaitQueue queue = new WaitQueue(timer);

    private WaitQueue.Position enter(int priority, int onTimeMs) {
        return queue.enter(
                SERVICE, priority, timer.nanos() + Duration.ofMillis(onTimeMs).toNanos());
    }

    /** Pattern: more arrivals than capacity. Guards against late work that delays work which is still on time. */
    @Test
    void onTimeIsServedBeforeLate() {
        var late = enter(0, 100);
        timer.advance(Duration.ofMillis(200));
        var patient = enter(1, 1_000);
        var urgent = enter(0, 1_000);
        assertThat(queue.isNext(SERVICE, urgent)).isTrue();
        queue.leave(SERVICE, urgent);
        assertThat(queue.isNext(SERVICE, patient)).isTrue();
        queue.leave(SERVICE, patient);
        assertThat(queue.isNext(SERVICE, late)).isTrue();
        queue.leave(SERVICE, late);
        assertThat(queue.size()).isZero();
    }

    /** Guards against an unbounded queue. */
    @Test
    void queueIsBounded() {
        for (int i = 0; i < 64; i++) {
            assertThat(enter(0, 1_000)).isNotNull();
        }
        assertThat(enter(0, 1_000)).isNull();
    }
}
