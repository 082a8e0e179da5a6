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
    private final AtomicLong stopped = new AtomicLong();
    private final AtomicLong wallJump = new AtomicLong();
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private SystemTimerService service() {
        return new SystemTimerService(
                () -> System.nanoTime() + stopped.get(), () -> System.currentTimeMillis() + wallJump.get());
    }

    /** Guards against overdue work that acts on old state because it runs before the pause is known. */
    @Test
    void announcesPauseBeforeOverdueTick() throws InterruptedException {
        try (var timers = service()) {
            timers.onPause(lost -> events.add("pause"));
            timers.after(Duration.ofSeconds(30), () -> events.add("tick"));
            stopped.addAndGet(TimeUnit.SECONDS.toNanos(40));
            assertThat(List.of(next(), next())).containsExactly("pause", "tick");
            assertThat(timers.pauseGeneration()).isEqualTo(1);
        }
    }

    /** Guards against a suspended machine, whose monotonic clock stands still, being taken for no pause. */
    @Test
    void noticesPauseThatOnlyTheWallClockShows() throws InterruptedException {
        try (var timers = service()) {
            timers.onPause(lost -> events.add("pause"));
            wallJump.addAndGet(20_000);
            assertThat(next()).isEqualTo("pause");
        }
    }

    /** Guards against a burst of overdue ticks after a pause and against a failed callback that ends all others. */
    @Test
    void skipsMissedPeriodsAndSurvivesFailures() throws InterruptedException {
        try (var timers = service()) {
            var three = new CountDownLatch(3);
            timers.every(Duration.ofMillis(10), t -> {
                three.countDown();
                throw new IllegalStateException("injected");
            });
            assertThat(three.await(30, TimeUnit.SECONDS)).isTrue();
            var hourly = new AtomicLong();
            timers.every(Duration.ofHours(1), t -> hourly.incrementAndGet());
            var paused = new CountDownLatch(1);
            timers.onPause(lost -> timers.after(Duration.ofMillis(50), paused::countDown));
            stopped.addAndGet(TimeUnit.HOURS.toNanos(5) + TimeUnit.MINUTES.toNanos(30));
            assertThat(paused.await(30, TimeUnit.SECONDS)).isTrue();
            assertThat(hourly).hasValue(1);
        }
    }

    /** Guards against callbacks into parts that were already closed. */
    @Test
    void cancelledCallbacksDoNotRun() throws InterruptedException {
        try (var timers = service()) {
            timers.after(Duration.ofMillis(50), () -> events.add("cancelled")).cancel();
            timers.after(Duration.ofMillis(100), () -> events.add("kept"));
            assertThat(next()).isEqualTo("kept");
        }
    }

    private String next() throws InterruptedException {
        return events.poll(30, TimeUnit.SECONDS);
    }
}
