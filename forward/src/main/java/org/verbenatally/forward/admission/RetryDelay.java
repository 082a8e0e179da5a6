package org.verbenatally.forward.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.DoubleSupplier;

/**
 * Time after which a refused caller of one service should retry: the more callers wait here or were told to come back,
 * and the fewer generations start, the later. Callers that are less urgent come back later than the more urgent ones,
 * for which only those count that are at least as urgent. Not safe for use by several threads.
 */
public final class RetryDelay {
    /**
     * The delay without a queue is the remaining time divided by this. Capacity for a long generation becomes free when
     * others end or when an engine is replaced, both of which take seconds; a caller that retries sooner is refused
     * again.
     */
    private static final int REMAINING_DIVISOR = 8;
    /** Shortest delay: about one generation of an engine ends each second. */
    private static final Duration MIN_DELAY = Duration.ofMillis(750);
    /** Shortest delay of the most urgent, for which memory is reserved that their short generations soon free again. */
    private static final Duration MIN_URGENT_DELAY = Duration.ofMillis(400);
    /** Longest delay without queue and jitter: an engine is replaced within about this time. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(5);
    /** Longest delay that the queue adds: bursts last about as long. */
    private static final Duration MAX_QUEUE_DELAY = Duration.ofSeconds(5);
    /** Jitter of up to the delay divided by this is added, so that callers refused together do not retry together. */
    private static final int JITTER_DIVISOR = 2;
    /** The delay is at most the remaining time divided by this, since callers do not wait longer. */
    private static final int LATEST_DIVISOR = 3;
    /** Time over which starts are averaged. */
    private static final double AVERAGING_SECONDS = 10;
    /** Most refused callers of one rank that are remembered. */
    private static final int MAX_PENDING = 256;

    private final List<PriorityQueue<Long>> pending = new ArrayList<>();
    /** Number of recent starts; decays. */
    private double recentStarts;

    private long startsAsOf;

    /** Creates the delays of a service without refusals. */
    public RetryDelay() {
        for (int i = 0; i < RankInService.DISTINCT_RANKS; i++) {
            // Differences are compared, since the clock may have any origin.
            pending.add(new PriorityQueue<>((a, b) -> Long.signum(a - b)));
        }
    }

    /** Records that a generation has started. */
    public void onStart(long now) {
        recentStarts = recentStarts(now) + 1;
        startsAsOf = now;
    }

    private double recentStarts(long now) {
        return recentStarts * Math.exp(-(now - startsAsOf) / 1e9 / AVERAGING_SECONDS);
    }

    /**
     * Returns the delay for a caller that is refused, and remembers when it will come back.
     *
     * @param rank rank of its request
     * @param waiting generations waiting here that are at least as urgent
     * @param remaining time for which the response is still of use
     * @param now monotonic time, in nanoseconds
     * @param random uniformly distributed from 0 to 1
     */
    public Duration onRefused(RankInService rank, int waiting, Duration remaining, long now, DoubleSupplier random) {
        long remainingMs = Math.max(0, remaining.toMillis());
        boolean urgent = rank.outranksOthers() && !rank.isOutranked();
        long minMs = (urgent ? MIN_URGENT_DELAY : MIN_DELAY).toMillis();
        double base =
                Math.clamp((double) remainingMs / REMAINING_DIVISOR / (urgent ? 2 : 1), minMs, MAX_DELAY.toMillis());
        double delay = base + queueMillis(rank.distinct(), waiting, now);
        double jitter = random.getAsDouble() * delay / JITTER_DIVISOR;
        long millis = Math.min((long) (delay + jitter), remainingMs / LATEST_DIVISOR);
        PriorityQueue<Long> own = pending.get(rank.distinct());
        if (own.size() < MAX_PENDING) {
            own.add(now + Duration.ofMillis(millis).toNanos());
        }
        return Duration.ofMillis(millis);
    }

    /** Returns the time in which those that are at least as urgent will have started at the present rate. */
    private double queueMillis(int rank, int waiting, long now) {
        int queued = waiting;
        for (int i = 0; i <= rank; i++) {
            PriorityQueue<Long> due = pending.get(i);
            while (!due.isEmpty() && due.peek() - now <= 0) {
                due.remove();
            }
            queued += due.size();
        }
        double startsPerMilli = recentStarts(now) / AVERAGING_SECONDS / 1e3;
        return queued == 0
                ? 0
                : Math.min(MAX_QUEUE_DELAY.toMillis(), queued / Math.max(startsPerMilli, Double.MIN_NORMAL));
    }
}
