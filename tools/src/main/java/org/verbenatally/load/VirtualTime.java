package org.verbenatally.load;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.verbenatally.time.TimerService;

/** A timer service whose time jumps to the next callback. Runs everything on the calling thread. */
final class VirtualTime implements TimerService {
    /** A callback at a time; equal times run in the order in which they were added. */
    private record Event(long nanos, long serial, Runnable task) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::serial));
    private long now;
    private long serial;

    /** Runs all callbacks up to a time. */
    void runUntil(long nanos) {
        while (!events.isEmpty() && events.peek().nanos() <= nanos) {
            Event next = events.poll();
            now = next.nanos();
            next.task().run();
        }
        now = nanos;
    }

    void at(long nanos, Runnable task) {
        events.add(new Event(Math.max(now, nanos), serial++, task));
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
        at(now + period.toNanos(), new Runnable() {
            @Override
            public void run() {
                if (!cancelled[0]) {
                    task.accept(new Tick(now, Duration.ZERO));
                    at(now + period.toNanos(), this);
                }
            }
        });
        return () -> cancelled[0] = true;
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        at(now + delay.toNanos(), () -> {
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
        events.clear();
    }
}
