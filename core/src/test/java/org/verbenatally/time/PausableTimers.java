package org.verbenatally.time;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A timer service of a process that can be stopped and continued, as by SIGSTOP, and whose clock can be moved. */
public final class PausableTimers implements TimerService {
    private final SystemTimerService real = new SystemTimerService();
    private final List<Consumer<Duration>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicLong skipped = new AtomicLong();
    private final AtomicLong pauses = new AtomicLong();
    private volatile boolean stopped;

    /** Delivers no callbacks until {@link #resume}. */
    public void pause() {
        stopped = true;
    }

    /** Continues after a pause that is noticed. */
    public void resume(Duration lost) {
        pauses.incrementAndGet();
        listeners.forEach(l -> l.accept(lost));
        stopped = false;
    }

    /** Moves the monotonic clock without a pause. */
    public void advance(Duration time) {
        skipped.addAndGet(time.toNanos());
    }

    @Override
    public long nanos() {
        return real.nanos() + skipped.get();
    }

    @Override
    public long epochMillis() {
        return real.epochMillis();
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> task) {
        return real.every(period, t -> {
            if (!stopped) {
                task.accept(t);
            }
        });
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return real.after(delay, () -> {
            if (!stopped) {
                task.run();
            }
        });
    }

    @Override
    public Subscription onPause(Consumer<Duration> listener) {
        listeners.add(listener);
        return () -> listeners.remove(listener);
    }

    @Override
    public long pauseGeneration() {
        return pauses.get();
    }

    @Override
    public void close() {
        real.close();
    }
}
