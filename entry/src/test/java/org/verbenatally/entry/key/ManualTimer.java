package org.verbenatally.entry.key;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.verbenatally.time.TimerService;

/** A clock that the test moves; callbacks are never made. */
final class ManualTimer implements TimerService {
    final AtomicLong nanos = new AtomicLong(1_000_000_000L);

    void advance(Duration time) {
        nanos.addAndGet(time.toNanos());
    }

    @Override
    public long nanos() {
        return nanos.get();
    }

    @Override
    public long epochMillis() {
        return nanos.get() / 1_000_000;
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
