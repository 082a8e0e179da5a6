package org.verbenatally.time;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Periodic and delayed work for the parts of a process, on the monotonic clock. One service runs per process; its owner
 * passes it to each part. Callbacks run one at a time on the service's own thread and must not block.
 */
public interface TimerService extends AutoCloseable {

    /** Ends the delivery of callbacks to one subscriber. */
    @FunctionalInterface
    interface Subscription {
        /** Ends the subscription; calling it again does nothing. */
        void cancel();
    }

    /**
     * One periodic callback.
     *
     * @param nanos monotonic time of the call, in nanoseconds
     * @param lateness how much later than planned the call is made
     */
    record Tick(long nanos, Duration lateness) {}

    /** Returns the monotonic time, in nanoseconds. */
    long nanos();

    /** Returns the wall clock, in milliseconds since the epoch. */
    long epochMillis();

    /** Calls the task each {@code period} until the subscription is cancelled. */
    Subscription every(Duration period, Consumer<Tick> task);

    /** Calls the task once after {@code delay}, unless the subscription is cancelled before. */
    Subscription after(Duration delay, Runnable task);

    /** Calls the listener with the time lost whenever the process was paused for more than a second. */
    Subscription onPause(Consumer<Duration> listener);

    /** Returns how many pauses have been noticed; a part compares two readings before it acts on older state. */
    long pauseGeneration();

    @Override
    void close();
}
