package org.verbenatally.policy;

/**
 * Adaptive limits of one target: the most requests that it serves within the token gap target, learned from the gaps
 * seen here, and the share of key-value memory to keep free, learned from its preemptions. Safe for use by several
 * threads.
 */
final class ConcurrencyLimit {
    /** Gaps needed before the limit is adjusted; fewer say too little about a target that 95 in 100 gaps must meet. */
    private static final int MIN_GAPS = 40;

    private static final long WINDOW_NANOS = 500_000_000;
    /**
     * Share of late gaps above which the limit is lowered. A batch that is too large delays all of its tokens; a
     * smaller share of late gaps is caused by busy processors or links, and fewer requests would not help.
     */
    private static final double MAX_LATE_SHARE = 0.5;
    /** The limit never falls below this share of the configured one, in case gaps are late for another reason. */
    private static final double MIN_LIMIT_SHARE = 0.5;

    private static final double DECREASE_FACTOR = 0.92;
    private static final double INCREASE_STEP = 0.5;
    /** Increase once the target's batch size is known: one request in ten seconds probes for a larger batch. */
    private static final double PROBE_STEP = 0.05;
    /**
     * Share of memory in use below which a request that waits at the target waits for a slot in the batch, not for
     * memory.
     */
    private static final double MEMORY_PRESSURE_THRESHOLD = 0.85;

    private static final int MIN_FULL_REPORTS = 3;
    private static final int MIN_LIMIT = 2;
    private static final double MIN_MARGIN = 0.04;
    private static final double MAX_MARGIN = 0.30;
    private static final double MARGIN_STEP = 0.02;
    private static final double MARGIN_DECAY = 0.995;

    private final double maxLimit;
    private final long gapTargetNanos;
    private double limit;
    private double margin = MIN_MARGIN;
    private long windowStartNanos;
    private int gaps;
    private int lateGaps;
    private boolean preemptedInWindow;
    private boolean batchSizeKnown;
    private int fullReports;
    private int lastBatchSize;

    /**
     * Creates a limit that starts at its maximum.
     *
     * @param maxLimit most requests that the configuration allows
     * @param gapTargetNanos target for the time between two tokens, in nanoseconds
     */
    ConcurrencyLimit(int maxLimit, long gapTargetNanos) {
        this.maxLimit = maxLimit;
        this.gapTargetNanos = gapTargetNanos;
        this.limit = maxLimit;
    }

    /**
     * Records the time between two tokens of one stream.
     *
     * @param nanos the time between the tokens, in nanoseconds
     * @param nowNanos the monotonic time, in nanoseconds
     * @param requests estimated requests in flight at the target over all entries
     */
    synchronized void recordGap(long nanos, long nowNanos, double requests) {
        gaps++;
        if (nanos > gapTargetNanos) {
            lateGaps++;
        }
        if (nowNanos - windowStartNanos >= WINDOW_NANOS && gaps >= MIN_GAPS) {
            adapt(requests);
            windowStartNanos = nowNanos;
        }
    }

    private void adapt(double requests) {
        double lateShare = lateGaps / (double) gaps;
        // Late gaps that coincide with a preemption are caused by memory, not by the batch size; the margin corrects
        // them.
        if (lateShare > MAX_LATE_SHARE && !preemptedInWindow) {
            limit = Math.max(minLimit(), Math.min(limit, Math.max(requests, MIN_LIMIT)) * DECREASE_FACTOR);
        } else if (lateShare <= MAX_LATE_SHARE / 2 && requests >= 0.8 * limit) {
            limit = Math.min(maxLimit, limit + (batchSizeKnown ? PROBE_STEP : INCREASE_STEP));
        }
        margin = Math.max(MIN_MARGIN, margin * MARGIN_DECAY);
        gaps = 0;
        lateGaps = 0;
        preemptedInWindow = false;
    }

    private double minLimit() {
        return Math.max(Math.min(MIN_LIMIT, maxLimit), MIN_LIMIT_SHARE * maxLimit);
    }

    /** Records the preemptions counted since the last report. */
    synchronized void recordPreemptions(long count) {
        if (count > 0) {
            margin = Math.min(MAX_MARGIN, margin + MARGIN_STEP * Math.min(count, 3));
            preemptedInWindow = true;
        }
    }

    /**
     * Learns the size of the target's batch from requests that wait there although memory is free. A new request also
     * waits for the end of the current step, so a batch size counts only if several consecutive reports show it.
     */
    synchronized void recordReport(ReportedLoad load) {
        boolean memoryFree = load.kvUsedTokens() < MEMORY_PRESSURE_THRESHOLD * load.kvCapacityTokens();
        boolean batchFull = load.waiting() > 0 && load.running() > 0 && memoryFree;
        fullReports = batchFull && load.running() == lastBatchSize ? fullReports + 1 : batchFull ? 1 : 0;
        lastBatchSize = load.running();
        if (fullReports >= MIN_FULL_REPORTS) {
            limit = Math.min(limit, Math.max(minLimit(), lastBatchSize));
            batchSizeKnown = true;
        }
    }

    /** Returns the most requests over all entries. */
    synchronized double limit() {
        return limit;
    }

    /** Returns the share of key-value memory to keep free. */
    synchronized double margin() {
        return margin;
    }
}
