package org.verbenatally.policy;

/**
 * The most requests that a target serves within the token gap target, learned from the gaps seen here, and the share of
 * key-value memory to keep free, learned from its preemptions. Safe for use by several threads.
 */
final class ConcurrencyLimit {
    /** Gaps needed for a verdict; fewer say too little about a 95 in 100 target. */
    private static final int MIN_GAPS = 40;

    private static final long WINDOW_NANOS = 500_000_000;
    /**
     * Share of late gaps above which the limit falls. A batch that is too large delays all of its tokens; a smaller
     * share of late gaps comes from busy processors or links, and fewer requests would not cure it.
     */
    private static final double LATE_SHARE = 0.5;
    /** The limit never falls below this share of the configured one, in case gaps are late for another reason. */
    private static final double FLOOR_SHARE = 0.5;

    private static final double DECREASE = 0.92;
    private static final double INCREASE = 0.5;
    /** Increase once the target's batch size is known: one request in ten seconds probes for a larger batch. */
    private static final double PROBE = 0.05;
    /** Memory share below which a request that waits at the target waits for a place in the batch, not for memory. */
    private static final double MEMORY_FREE = 0.85;

    private static final int FULL_REPORTS = 3;
    private static final int LEAST = 2;
    private static final double LEAST_MARGIN = 0.04;
    private static final double LARGEST_MARGIN = 0.30;
    private static final double MARGIN_STEP = 0.02;
    private static final double MARGIN_DECAY = 0.995;

    private final double ceiling;
    private final long gapTargetNanos;
    private double limit;
    private double margin = LEAST_MARGIN;
    private long windowStart;
    private int gaps;
    private int late;
    private boolean preempted;
    private boolean batchSeen;
    private int fullReports;
    private int fullSize;

    /**
     * Creates a limit that starts at its ceiling.
     *
     * @param ceiling most requests that the configuration allows
     * @param gapTargetNanos target for the time between two tokens, in nanoseconds
     */
    ConcurrencyLimit(int ceiling, long gapTargetNanos) {
        this.ceiling = ceiling;
        this.gapTargetNanos = gapTargetNanos;
        this.limit = ceiling;
    }

    /** Takes the time between two tokens of one stream. */
    synchronized void gap(long nanos, long now, double requests) {
        gaps++;
        if (nanos > gapTargetNanos) {
            late++;
        }
        if (now - windowStart >= WINDOW_NANOS && gaps >= MIN_GAPS) {
            adapt(requests);
            windowStart = now;
        }
    }

    private void adapt(double requests) {
        double share = late / (double) gaps;
        // Late gaps beside a preemption are a matter of memory, not of batch size; the margin answers them.
        if (share > LATE_SHARE && !preempted) {
            limit = Math.max(floor(), Math.min(limit, Math.max(requests, LEAST)) * DECREASE);
        } else if (share <= LATE_SHARE / 2 && requests >= 0.8 * limit) {
            limit = Math.min(ceiling, limit + (batchSeen ? PROBE : INCREASE));
        }
        margin = Math.max(LEAST_MARGIN, margin * MARGIN_DECAY);
        gaps = 0;
        late = 0;
        preempted = false;
    }

    private double floor() {
        return Math.max(Math.min(LEAST, ceiling), FLOOR_SHARE * ceiling);
    }

    /** Takes the preemptions counted since the last report. */
    synchronized void preemptions(long count) {
        if (count > 0) {
            margin = Math.min(LARGEST_MARGIN, margin + MARGIN_STEP * Math.min(count, 3));
            preempted = true;
        }
    }

    /**
     * Learns the size of the target's batch from requests that wait there although memory is free. A new request also
     * waits for the end of the present step, so only a batch of one size in several reports in a row counts.
     */
    synchronized void observed(ReportedLoad load) {
        boolean memoryFree = load.kvUsedTokens() < MEMORY_FREE * load.kvCapacityTokens();
        boolean full = load.waiting() > 0 && load.running() > 0 && memoryFree;
        fullReports = full && load.running() == fullSize ? fullReports + 1 : full ? 1 : 0;
        fullSize = load.running();
        if (fullReports >= FULL_REPORTS) {
            limit = Math.min(limit, Math.max(floor(), fullSize));
            batchSeen = true;
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
