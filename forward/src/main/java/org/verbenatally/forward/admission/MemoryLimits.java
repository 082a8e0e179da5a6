package org.verbenatally.forward.admission;

/**
 * Shares of an engine's memory up to which a generation may start there.
 *
 * @param normal limit for a generation that starts on time
 * @param filling limit for filling work, which yields to others
 */
public record MemoryLimits(double normal, double filling) {

    /**
     * Returns the limits with memory reserved for more urgent generations.
     *
     * <p>Short generations that are more urgent than others may fill all of the memory: they end before the others
     * need what is planned for their growth. So the reserve for them begins at the full memory for the ranks that are
     * outranked by one, which are then served as without a reserve unless memory is short. Ranks that are outranked by
     * two or more stay below their limit by the whole reserve, also with filling work.
     *
     * @param rank rank of the generation
     * @param isLong whether it is likely to outlast the notice period of a leaving engine
     * @param reserve what is reserved for the more urgent ranks
     */
    public MemoryLimits withReserve(RankInService rank, boolean isLong, MemoryReserve reserve) {
        double limit = normal;
        if (rank.outranksOthers() && !rank.isOutranked() && !isLong) {
            limit = Math.max(normal, 1);
        }
        if (rank.isClearlyOutranked()) {
            return new MemoryLimits(limit - reserve.total(), Math.min(filling, 1 - reserve.total()));
        }
        return rank.isOutranked()
                ? new MemoryLimits(Math.min(limit, 1 - reserve.shortShare()) - reserve.longShare(), filling)
                : new MemoryLimits(limit, filling);
    }
}
