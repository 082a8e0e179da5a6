package org.verbenatally.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.verbenatally.core.KindName;

/**
 * Estimates waits from the rate at which requests of a kind have started recently. Not safe for use by several threads.
 */
final class WaitEstimator {
    /** Time constant of the decay of the start rate, in seconds; starts older than it count for little. */
    private static final double TIME_CONSTANT_SECONDS = 5;
    /** Rate assumed before any start, in requests per second. */
    private static final double INITIAL_RATE = 2;

    private static final double MIN_RATE = 0.02;

    private static final class Rate {
        double perSecond = INITIAL_RATE;
        long lastNanos;

        void decay(long nowNanos) {
            double seconds = Math.max(0, (nowNanos - lastNanos) / 1e9);
            perSecond *= Math.exp(-seconds / TIME_CONSTANT_SECONDS);
            lastNanos = nowNanos;
        }
    }

    private final Map<KindName, Rate> rates = new HashMap<>();

    /** Counts a request that started. */
    void recordStart(KindName kind, long nowNanos) {
        Rate rate = rate(kind, nowNanos);
        rate.decay(nowNanos);
        rate.perSecond += 1 / TIME_CONSTANT_SECONDS;
    }

    /** Returns the expected wait of a request that has the given number of requests of its kind ahead of it. */
    Duration expectedWait(KindName kind, double requestsAhead, long nowNanos) {
        Rate rate = rate(kind, nowNanos);
        rate.decay(nowNanos);
        double seconds = requestsAhead / Math.max(MIN_RATE, rate.perSecond);
        return Duration.ofNanos((long) (seconds * 1e9));
    }

    private Rate rate(KindName kind, long nowNanos) {
        return rates.computeIfAbsent(kind, name -> {
            Rate rate = new Rate();
            rate.lastNanos = nowNanos;
            return rate;
        });
    }
}
