package org.verbenatally.forward;

import java.time.Duration;
import java.util.function.Consumer;

import org.verbenatally.time.TimerService;

/** A clock that moves only when a test says so; it calls nobody back. */
final class ManualTimer implements TimerService {
    private long nanos = 1;

    void advance(Duration time) {
        nanos += time.toNanos();
    }

    @Override
    public long nanos() {
        return nanos;
    }

    @Override
    public long epochMillis() {
        return 0;
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> task) {
        return () -> {};
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        return () -> {};
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
    public void close() {}
}
