package org.verbenatally.time;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** Timer service whose clock advances only when a test advances it; it never runs callbacks. */
public final class ManualTimer implements TimerService {
    private final AtomicLong nanos = new AtomicLong(TimeUnit.SECONDS.toNanos(1));

    /** Advances the clock. */
    public void advance(Duration time) {
        nanos.addAndGet(time.toNanos());
    }

    @Override
    public long nanos() {
        return nanos.get();
    }

    @Override
    public long epochMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos.get());
    }

    @Override
    public Subscription every(Duration period, Consumer<Tick> callback) {
        return () -> {};
    }

    @Override
    public Subscription after(Duration delay, Runnable callback) {
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
