package org.verbenatally.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.verbenatally.core.KindName;

/**
 * Estimates waits from the rate at which requests of a kind have started lately. Not safe for use by several threads.
 */
final class WaitEstimate {
    /** Starts older than this time constant count for little. */
    private static final double TIME_CONSTANT_SECONDS = 5;
    /** Rate assumed before any start, in requests a second. */
    private static final double INITIAL_RATE = 2;

    private static final double LEAST_RATE = 0.02;

    private static final class Rate {
        double perSecond = INITIAL_RATE;
        long lastNanos;

        void decay(long now) {
            double seconds = Math.max(0, (now - lastNanos) / 1e9);
            perSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
            lastNanos = now;
        }
    }

    private final Map<KindName, Rate> rates = new HashMap<>();

    /** Counts a start of a request. */
    void started(KindName kind, long now) {
        Rate rate = rate(kind, now);
        rate.decay(now);
        rate.perSecond += 1 / TIME_CONSTANT_SECONDS;
    }

    /** Returns the expected wait of a request that has some requests of its kind ahead of it. */
    Duration expected(KindName kind, double ahead, long now) {
        Rate rate = rate(kind, now);
        rate.decay(now);
        double seconds = ahead / Math.max(LEAST_RATE, rate.perSecond);
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private Rate rate(KindName kind, long now) {
        return rates.computeIfAbsent(kind, name -> {
            Rate rate = new Rate();
            rate.lastNanos = now;
            return rate;
        });
    }
}
