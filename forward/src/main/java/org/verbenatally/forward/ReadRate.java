package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.DoubleSupplier;

/**
 * Decides how often one instance reads the source of targets and configuration. The instances pass on what they read,
 * so that the reads of the whole fleet count; one that receives no updates from the others reads for itself.
 */
public final class ReadRate {
    /**
     * Reads by all instances together. A leaving engine, which gives a second or two of notice, is noticed within about
     * an eighth of a second.
     */
    private static final int FLEET_READS_PER_SECOND = 8;

    private static final Duration MIN_PAUSE = Duration.ofSeconds(1);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(60);
    /** While the source cannot be read, all instances try, and one that succeeds updates the others. */
    private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(2);
    /** Pauses are shortened by up to this share, so that instances that started together do not stay in step. */
    private static final double JITTER = 0.3;

    /**
     * A configuration that could not be read is requested again after this time, which doubles with each further
     * failure.
     */
    private static final Duration FIRST_RETRY = Duration.ofMillis(200);
    /** Limits the pause to 800 ms; the time within which a version must be in force is two seconds or more. */
    private static final int MAX_DOUBLINGS = 2;

    /**
     * A watch that receives no change is renewed after this time, which limits the harm done by a connection without
     * data.
     */
    private static final Duration MIN_WATCH = Duration.ofSeconds(3);
    /** Longest watch that the source allows. */
    private static final Duration MAX_WATCH = Duration.ofSeconds(30);

    private static final int FLEET_WATCHES_PER_SECOND = 3;

    private final Duration staleAfter;
    private final DoubleSupplier random;

    /**
     * Creates the read rate of one instance.
     *
     * @param staleAfter age of the list beyond which the instance reads it itself
     */
    public ReadRate(Duration staleAfter) {
        this(staleAfter, () -> ThreadLocalRandom.current().nextDouble());
    }

    ReadRate(Duration staleAfter, DoubleSupplier random) {
        this.staleAfter = Objects.requireNonNull(staleAfter, "staleAfter");
        this.random = Objects.requireNonNull(random, "random");
    }

    private static Duration interval(int members, int perSecond) {
        return Duration.ofSeconds(1).multipliedBy(Math.max(1, members)).dividedBy(perSecond);
    }

    private static Duration clamp(Duration value, Duration min, Duration max) {
        return value.compareTo(min) < 0 ? min : value.compareTo(max) > 0 ? max : value;
    }

    /**
     * Returns the longest pause before the next read, or the next attempt to read. An instance that the source rejects
     * does not try more often while others pass on what they read.
     *
     * @param members live instances, this one included
     * @param age age of the known list, by own reads or those of others; empty if none is known
     */
    public Duration nextPause(int members, Optional<Duration> age) {
        Duration longest = timeUntilStale(age).isZero() ? MAX_RETRY_PAUSE : MAX_PAUSE;
        Duration pause = clamp(interval(members, FLEET_READS_PER_SECOND), MIN_PAUSE, longest);
        double factor = 1 - JITTER * random.getAsDouble();
        return Duration.ofNanos((long) (pause.toNanos() * factor));
    }

    /**
     * Returns the time until the known list is stale, unless an update arrives before; zero if it is stale.
     *
     * @param age age of the known list; empty if none is known
     */
    public Duration timeUntilStale(Optional<Duration> age) {
        return age.map(staleAfter::minus)
                .filter(remaining -> !remaining.isNegative())
                .orElse(Duration.ZERO);
    }

    /** Returns the shortest pause between two reads that are caused by a stale list. */
    public Duration minPause() {
        double factor = 1 - JITTER * random.getAsDouble();
        return Duration.ofNanos((long) (MIN_PAUSE.toNanos() * factor));
    }

    /**
     * Returns the pause before a configuration is requested again. It does not grow with the fleet: a version must be
     * in force soon, and what cuts the watch of one instance may cut those of all, so that no peer has received the
     * version.
     *
     * @param failures number of requests that have failed so far, at least one
     */
    public Duration retryPause(int failures) {
        Duration longest = FIRST_RETRY.multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS + 1) - 1);
        double factor = 1 - JITTER * random.getAsDouble();
        return Duration.ofNanos((long) (longest.toNanos() * factor));
    }

    /**
     * Returns how long one watch of the configuration waits; in a large fleet, other instances are notified of a change
     * as well.
     */
    public Duration watchDuration(int members) {
        return clamp(interval(members, FLEET_WATCHES_PER_SECOND), MIN_WATCH, MAX_WATCH);
    }

    /** Returns a random part of {@link #watchDuration}, all parts being equally likely. */
    Duration partialWatchDuration(int members) {
        double part = 1 - random.getAsDouble();
        return Duration.ofMillis((long) Math.ceil(watchDuration(members).toMillis() * part));
    }
}
