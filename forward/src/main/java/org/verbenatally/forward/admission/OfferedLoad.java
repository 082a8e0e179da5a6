package org.verbenatally.forward.admission;

import java.time.Duration;

/**
 * Memory that the generations of one service ask for, by rank, as this instance has seen it lately; from it follows the
 * memory to reserve for the more urgent ranks in the whole fleet. Safe for use by several threads.
 *
 * <p>Peers report their load as a sum over all ranks. Load balancers distribute the requests evenly, so the instance
 * takes its own demand times the number of instances for that of the fleet. Arrivals are counted and not the
 * generations that run: urgent ones that find no memory are demand as well.
 */
public final class OfferedLoad {
    /** Time over which arrivals are averaged: an instance of a large fleet gets an urgent one every few seconds. */
    private static final double AVERAGING_SECONDS = 10;
    /** A rank without arrivals for this long has no demand. */
    private static final long ABSENT_NANOS = Duration.ofSeconds(30).toNanos();
    /** Weight of the latest generation in the averages of memory and duration. */
    private static final double LATEST_WEIGHT = 0.125;
    /** Longest duration that is counted, so that a single generation cannot reserve memory for long. */
    private static final Duration MAX_DURATION = Duration.ofMinutes(1);

    /**
     * The engines and instances that share the load.
     *
     * @param instances live instances, this one included
     * @param engines engines that may get new work
     * @param engineTokens memory of each engine, in tokens
     */
    public record Pool(int instances, int engines, long engineTokens) {
        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if the memory is not positive
         */
        public Pool {
            if (engineTokens < 1) {
                throw new IllegalArgumentException("engines must have memory");
            }
        }
    }

    /** Demand of the short or the long generations of one rank. */
    private static final class Demand {
        /** Memory times duration of the arrivals, in token seconds; decays. */
        private double tokenSeconds;

        private boolean seen;
        private long lastArrival;
        private double meanTokens;
        private double meanSeconds;

        private void add(long tokens, Duration expectedDuration, long now) {
            tokenSeconds = decayed(now);
            if (!seen) {
                meanTokens = tokens;
                meanSeconds = seconds(expectedDuration);
            }
            seen = true;
            lastArrival = now;
            meanTokens += LATEST_WEIGHT * (tokens - meanTokens);
            tokenSeconds += tokens * meanSeconds;
        }

        private double decayed(long now) {
            return seen ? tokenSeconds * Math.exp(-(now - lastArrival) / 1e9 / AVERAGING_SECONDS) : 0;
        }

        private boolean isPresent(long now) {
            return seen && meanTokens > 0 && now - lastArrival < ABSENT_NANOS;
        }

        /** Returns the memory that the generations of the whole fleet need at a time, in tokens. */
        private double fleetTokens(Pool pool, long now) {
            return decayed(now) / AVERAGING_SECONDS * Math.max(1, pool.instances());
        }
    }

    private final Demand[] shortDemand = new Demand[RankInService.DISTINCT_RANKS];
    private final Demand[] longDemand = new Demand[RankInService.DISTINCT_RANKS];

    /** Creates the load of a service that has not had any. */
    public OfferedLoad() {
        for (int i = 0; i < RankInService.DISTINCT_RANKS; i++) {
            shortDemand[i] = new Demand();
            longDemand[i] = new Demand();
        }
    }

    private static double seconds(Duration duration) {
        return Math.clamp(duration.toMillis(), 0, MAX_DURATION.toMillis()) / 1e3;
    }

    private Demand demand(int rank, boolean isLong) {
        return (isLong ? longDemand : shortDemand)[RankInService.distinct(rank)];
    }

    /**
     * Records a generation that a caller asks for.
     *
     * @param tokens memory that it is expected to need
     * @param expectedDuration time that it is expected to use an engine, for the first one of its kind
     * @param now monotonic time, in nanoseconds
     */
    public synchronized void onArrival(int rank, boolean isLong, long tokens, Duration expectedDuration, long now) {
        demand(rank, isLong).add(Math.max(0, tokens), expectedDuration, now);
    }

    /** Records for how long a generation has used an engine. */
    public synchronized void onEnd(int rank, boolean isLong, Duration duration) {
        Demand demand = demand(rank, isLong);
        demand.meanSeconds += LATEST_WEIGHT * (seconds(duration) - demand.meanSeconds);
    }

    /**
     * Returns the memory of each engine to keep free of generations of a rank: what the demand of the more urgent ranks
     * may grow by. For ranks that are clearly outranked this is the demand itself, so that it can double within a
     * moment; for the others one standard deviation of the number of generations, which is small unless they are
     * few. Room for one short generation is reserved at each engine, since memory that is free at several engines is
     * of no use to one generation.
     *
     * @param rank rank that may not use the reserve
     * @param now monotonic time, in nanoseconds
     */
    public synchronized MemoryReserve reserveAgainst(RankInService rank, Pool pool, long now) {
        if (pool.engines() < 1) {
            return MemoryReserve.NONE;
        }
        double slot = 0;
        double shortGrowth = 0;
        double longGrowth = 0;
        for (int i = 0; i < rank.distinct(); i++) {
            slot = Math.max(slot, slotShare(shortDemand[i], pool, now));
            shortGrowth += growthShare(shortDemand[i], rank, pool, now);
            longGrowth += growthShare(longDemand[i], rank, pool, now);
        }
        return new MemoryReserve(Math.max(slot, shortGrowth), longGrowth);
    }

    private static double slotShare(Demand demand, Pool pool, long now) {
        return demand.isPresent(now) ? demand.meanTokens / pool.engineTokens() : 0;
    }

    private static double growthShare(Demand demand, RankInService rank, Pool pool, long now) {
        if (!demand.isPresent(now)) {
            return 0;
        }
        double tokens = demand.fleetTokens(pool, now);
        double growth = rank.isClearlyOutranked() ? tokens : Math.sqrt(tokens * demand.meanTokens);
        return growth / pool.engines() / pool.engineTokens();
    }
}
