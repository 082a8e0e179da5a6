package org.verbenatally.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.verbenatally.time.TimerService;

/**
 * A timer service in virtual time, which advances to the next callback at once. Runs all callbacks on the calling
 * thread.
 */
final class VirtualTime implements TimerService {
    /** A callback that is due at a time; callbacks due at the same time run in the order in which they were added. */
    private record ScheduledTask(long nanos, long sequence, Runnable task) {}

    private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::nanos).thenComparingLong(ScheduledTask::sequence));
    private long now;
    private long sequence;

    /** Runs all callbacks due up to a time, in nanoseconds, and advances the clock to that time. */
    void runUntil(long nanos) {
        while (!queue.isEmpty() && queue.peek().nanos() <= nanos) {
            ScheduledTask next = queue.poll();
            now = next.nanos();
            next.task().run();
        }
        now = nanos;
    }

    void schedule(long nanos, Runnable task) {
        queue.add(new ScheduledTask(Math.max(now, nanos), sequence++, task));
    }

    @Override
    public long nanos() {
        return now;
    }

    @Override
    public long epochMillis() {
        return now / 1_000_000;
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> task) {
        boolean[] cancelled = {false};
        schedule(now + period.toNanos(), new Runnable() {
            @Override
            public void run() {
                if (!cancelled[0]) {
                    task.accept(new Tick(now, Duration.ZERO));
                    schedule(now + period.toNanos(), this);
                }
            }
        });
        return () -> cancelled[0] = true;
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        schedule(now + delay.toNanos(), () -> {
            if (!cancelled[0]) {
                task.run();
            }
        });
        return () -> cancelled[0] = true;
    }

    @Override
    public Subscription onPause(Consumer<Duration> listener) {
        return () -> {};
    }

    @Override
    public long pauseGeneration() {
        return 0;
    }

    @Override
    public void close() {
        queue.clear();
    }
}
