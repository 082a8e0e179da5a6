package org.verbenatally.entry.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.verbenatally.config.Deployment;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.ServiceResult;

/** Measures the latency of one stream's tokens against the latency levels of the deployment. Used by one task. */
final class TokenLatency {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EntryMetrics.TokenMeters meters;
    private final Deployment.Levels levels;
    private long lastNanos;
    private boolean first = true;
    private boolean firstTokenLate;
    private long tokens;
    private long lateGaps;

    TokenLatency(EntryMetrics.TokenMeters meters, long startNanos, Optional<Deployment> deployment) {
        this.meters = meters;
        this.lastNanos = startNanos;
        this.levels = deployment.map(Deployment::levels).orElse(new Deployment.Levels(480, 54, 0.95));
    }

    /** Records that a token arrived now; the first one is measured from the start of the request. */
    void recordToken() {
        long now = System.nanoTime();
        long elapsedNanos = now - lastNanos;
        lastNanos = now;
        (first ? meters.firstToken() : meters.gap()).record(elapsedNanos, TimeUnit.NANOSECONDS);
        double lateMs = elapsedNanos / 1e6 - (first ? levels.firstTokenMs() : levels.tokenGapMs());
        if (lateMs > 0) {
            meters.stallSeconds().increment(lateMs / MILLIS_PER_SECOND);
            firstTokenLate |= first;
            lateGaps += first ? 0 : 1;
        }
        tokens++;
        first = false;
    }

    /**
     * Returns how a complete response was served. It has stalled if a larger share of its tokens than the objective
     * allows came after too long a gap.
     */
    ServiceResult serviceResult() {
        if (firstTokenLate) {
            return ServiceResult.LATE;
        }
        return lateGaps <= (1 - levels.objective()) * tokens ? ServiceResult.MET : ServiceResult.STALLED;
    }
}
