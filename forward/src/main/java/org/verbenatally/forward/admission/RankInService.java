package org.verbenatally.forward.admission;

/**
 * Rank of a generation among the generations of a service, as the routes of the configuration state it.
 *
 * @param rank rank of its route, 0 for the most urgent
 * @param mostUrgent lowest rank of all routes whose generations share the service
 * @param leastUrgent highest rank of these routes
 */
public record RankInService(int rank, int mostUrgent, int leastUrgent) {
    /** Difference of ranks from which the more urgent generations displace others also at the engines. */
    private static final int CLEAR_DIFFERENCE = 2;
    /** Highest rank that metrics and measurements distinguish; higher ones count as this one. */
    private static final int MAX_DISTINCT_RANK = 7;

    /** Number of ranks that are distinguished. */
    public static final int DISTINCT_RANKS = MAX_DISTINCT_RANK + 1;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a rank is negative, or the own rank is outside the given range
     */
    public RankInService {
        if (mostUrgent < 0 || rank < mostUrgent || rank > leastUrgent) {
            throw new IllegalArgumentException(
                    "rank " + rank + " must be within " + mostUrgent + " and " + leastUrgent + " and not negative");
        }
    }

    /** Returns the rank of a generation that has its service to itself. */
    public static RankInService alone(int rank) {
        return new RankInService(rank, rank, rank);
    }

    /** Returns the rank as a small number, for arrays and metric labels. */
    public int distinct() {
        return distinct(rank);
    }

    /** Returns a rank as a number below {@link #DISTINCT_RANKS}. */
    static int distinct(int rank) {
        return Math.min(rank, MAX_DISTINCT_RANK);
    }

    /** Returns whether other generations of the service are more urgent. */
    public boolean isOutranked() {
        return mostUrgent < rank;
    }

    /** Returns whether other generations of the service are more urgent by two ranks or more. */
    public boolean isClearlyOutranked() {
        return rank - mostUrgent >= CLEAR_DIFFERENCE;
    }

    /** Returns whether other generations of the service are less urgent. */
    public boolean outranksOthers() {
        return rank < leastUrgent;
    }
}
