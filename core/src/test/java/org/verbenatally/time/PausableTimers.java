package org.verbenatally.time;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Timer service of a process that can be paused and resumed, as by SIGSTOP and SIGCONT, and whose monotonic clock can
 * be advanced.
 */
public final class PausableTimers implements TimerService {
    private final SystemTimerService delegate = new SystemTimerService();
    private final List<Consumer<Duration>> listeners = new CopyOnWriteArrayList<>();
    private final AtomicLong advancedNanos = new AtomicLong();
    private final AtomicLong pauseCount = new AtomicLong();
    private volatile boolean paused;

    /** Suppresses callbacks until {@link #resume}. */
    public void pause() {
        paused = true;
    }

    /** Ends the pause and reports it to the pause listeners with the given lost time. */
    public void resume(Duration lost) {
        pauseCount.incrementAndGet();
        listeners.forEach(l -> l.accept(lost));
        paused = false;
    }

    /** Advances the monotonic clock without reporting a pause. */
    public void advance(Duration time) {
        advancedNanos.addAndGet(time.toNanos());
    }

    @Override
    public long nanos() {
        return delegate.nanos() + advancedNanos.get();
    }

    @Override
    public long epochMillis() {
        return delegate.epochMillis();
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> callback) {
        return delegate.every(period, tick -> {
            if (!paused) {
                callback.accept(tick);
            }
        });
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
        return delegate.after(delay, () -> {
            if (!paused) {
                callback.run();
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
        return pauseCount.get();
    }

    @Override
    public void close() {
        delegate.close();
    }
}
