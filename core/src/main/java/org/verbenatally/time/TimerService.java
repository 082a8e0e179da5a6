package org.verbenatally.time;

import java.time.Duration;
import java.util.function.Consumer;

/**
 * Schedules periodic and delayed callbacks on the monotonic clock. A process has one timer service, which its owner
 * passes to each component. Callbacks run one at a time on the service's own thread and must not block.
 */
public interface TimerService extends AutoCloseable {

    /** Handle that cancels a registered callback. */
    @FunctionalInterface
    interface Subscription {
        /** Cancels the callback; further calls have no effect. */
        void cancel();
    }

    /**
     * One invocation of a periodic callback.
     *
     * @param nanos monotonic time of the invocation, in nanoseconds
     * @param lateness how long after its scheduled time the callback is invoked
     */
    record Tick(long nanos, Duration lateness) {}

    /** Returns the monotonic time, in nanoseconds. */
    long nanos();

    /** Returns the wall-clock time, in milliseconds since the epoch. */
    long epochMillis();

    /** Runs the callback once per {@code period} until the subscription is cancelled. */
    Subscription every(Duration period, Consumer<Tick> callback);

    /** Runs the callback once after {@code delay}, unless the subscription is cancelled first. */
    Subscription after(Duration delay, Runnable callback);

    /** Calls the listener with the lost time whenever the process was paused for more than a second. */
    Subscription onPause(Consumer<Duration> listener);

    /**
     * Returns the number of pauses detected so far. A component compares two readings to find out whether the process
     * was paused in between, before it acts on state from the time of the first one.
     */
    long pauseGeneration();

    @Override
    void close();
}
