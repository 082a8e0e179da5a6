package org.verbenatally.time;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SystemTimerServiceTest {
    private final AtomicLong pausedNanos = new AtomicLong();
    private final AtomicLong wallClockJumpMillis = new AtomicLong();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private SystemTimerService newService() {
        return new SystemTimerService(
                () -> System.nanoTime() + pausedNanos.get(),
                () -> System.currentTimeMillis() + wallClockJumpMillis.get());
    }

    /** Guards against overdue callbacks that act on stale state because they run before the pause is reported. */
    @Test
    void reportsPauseBeforeOverdueCallback() throws InterruptedException {
        try (var timers = newService()) {
            timers.onPause(lost -> events.add("pause"));
            timers.after(Duration.ofSeconds(30), () -> events.add("tick"));
            pausedNanos.addAndGet(TimeUnit.SECONDS.toNanos(40));
            assertThat(List.of(nextEvent(), nextEvent())).containsExactly("pause", "tick");
            assertThat(timers.pauseGeneration()).isEqualTo(1);
        }
    }

    /**
     * Guards against overlooking the suspension of a machine, during which the wall clock advances but the monotonic
     * clock does not.
     */
    @Test
    void detectsPauseThatOnlyTheWallClockReveals() throws InterruptedException {
        try (var timers = newService()) {
            timers.onPause(lost -> events.add("pause"));
            wallClockJumpMillis.addAndGet(20_000);
            assertThat(nextEvent()).isEqualTo("pause");
        }
    }

    /** Guards against a burst of overdue ticks after a pause, and against a failed callback that stops all others. */
    @Test
    void skipsMissedPeriodsAndContinuesAfterFailedCallbacks() throws InterruptedException {
        try (var timers = newService()) {
            var threeTicks = new CountDownLatch(3);
            timers.every(Duration.ofMillis(10), t -> {
                threeTicks.countDown();
                throw new IllegalStateException("injected");
            });
            assertThat(threeTicks.await(30, TimeUnit.SECONDS)).isTrue();
            var hourlyTicks = new AtomicLong();
            timers.every(Duration.ofHours(1), t -> hourlyTicks.incrementAndGet());
            var afterPause = new CountDownLatch(1);
            timers.onPause(lost -> timers.after(Duration.ofMillis(50), afterPause::countDown));
            pausedNanos.addAndGet(TimeUnit.HOURS.toNanos(5) + TimeUnit.MINUTES.toNanos(30));
            assertThat(afterPause.await(30, TimeUnit.SECONDS)).isTrue();
            assertThat(hourlyTicks).hasValue(1);
        }
    }

    /** Guards against callbacks into components that are already closed. */
    @Test
    void cancelledCallbacksDoNotRun() throws InterruptedException {
        try (var timers = newService()) {
            timers.after(Duration.ofMillis(50), () -> events.add("cancelled")).cancel();
            timers.after(Duration.ofMillis(100), () -> events.add("kept"));
            assertThat(nextEvent()).isEqualTo("kept");
        }
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(30, TimeUnit.SECONDS);
    }
}
