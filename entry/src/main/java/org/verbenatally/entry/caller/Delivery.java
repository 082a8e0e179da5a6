package org.verbenatally.entry.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.verbenatally.config.Deployment;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.Service;

/** Measures the tokens of one stream against the latency targets. Used by one task. */
final class Delivery {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryMetrics.TokenMeters meters;
    private final Deployment.Levels levels;
    private long lastNanos;
    private boolean first = true;
    private boolean firstLate;
    private long tokens;
    private long lateGaps;

    Delivery(EntryMetrics.TokenMeters meters, long startNanos, Optional<Deployment> deployment) {
        this.meters = meters;
        this.lastNanos = startNanos;
        this.levels = deployment.map(Deployment::levels).orElse(new Deployment.Levels(480, 54, 0.95));
    }

    void token() {
        long now = System.nanoTime();
        long tookNanos = now - lastNanos;
        lastNanos = now;
        (first ? meters.firstToken() : meters.gap()).record(tookNanos, TimeUnit.NANOSECONDS);
        double lateMs = tookNanos / 1e6 - (first ? levels.firstTokenMs() : levels.tokenGapMs());
        if (lateMs > 0) {
            meters.stallSeconds().increment(lateMs / MILLIS_PER_SECOND);
            firstLate |= first;
            lateGaps += first ? 0 : 1;
        }
        tokens++;
        first = false;
    }

    /** Returns how a complete answer was served; of its gaps, the objective's share must be in time. */
    Service service() {
        if (firstLate) {
            return Service.LATE;
        }
        return lateGaps <= (1 - levels.objective()) * tokens ? Service.MET : Service.STALLED;
    }
}
