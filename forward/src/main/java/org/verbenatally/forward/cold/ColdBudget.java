package org.verbenatally.forward.cold;

/**
 * Requests that one cold target may get in each window, divided by how certain an instance is to know the fleet.
 *
 * <p>Instances with {@link KnownMembers.Standing#SETTLED settled} knowledge all know each other, on either side of a
 * partition, and divide {@code settled} requests. Those with {@link KnownMembers.Standing#RECENT recent} knowledge may
 * have started during a partition, and know all others on their own side only; those of each side divide
 * {@code recent} requests. With two sides, the sum is at most {@code settled + 2 * recent}, which is within the bound.
 *
 * @param settled requests that the instances with settled knowledge divide, all together
 * @param recent requests that the instances with recent knowledge divide, on each side of a partition
 */
public record ColdBudget(int settled, int recent) {
    /**
     * Largest share of the bound for instances with settled knowledge, so that something is left for the others if the
     * settings grant no margin.
     */
    private static final double SETTLED_SHARE = 0.6;
    /** Sides of a partition that the bound is kept for. */
    private static final int SIDES = 2;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number is negative, or {@code recent} is greater than {@code settled}
     */
    public ColdBudget {
        if (recent < 0 || settled < recent) {
            throw new IllegalArgumentException("budgets must not be negative, and recent at most settled");
        }
    }

    /**
     * Divides the bound of a service.
     *
     * @param perSecond requests that a cold target can handle in a second
     * @param margin how far this may be exceeded
     */
    public static ColdBudget of(double perSecond, ColdMargin margin) {
        double bound = perSecond * margin.factor() + margin.slack();
        int settled = (int) Math.min(perSecond, bound * SETTLED_SHARE);
        return new ColdBudget(settled, (int) Math.min(settled, (bound - settled) / SIDES));
    }

    /**
     * Returns the part of an instance: the number of requests {@code k} of the budget with {@code k mod members} equal
     * to its position. It never grows with the number of members or the position, so instances that know more members
     * than necessary send too little, never too much.
     *
     * @param standing what the instance knows of the fleet
     * @param position position of the instance among the members for the target, from 0
     * @param members number of members that it knows, itself included
     */
    int share(KnownMembers.Standing standing, int position, int members) {
        int budget =
                switch (standing) {
                    case UNKNOWN -> 0;
                    case RECENT -> recent;
                    case SETTLED -> settled;
                };
        return position >= budget ? 0 : Math.ceilDiv(budget - position, members);
    }
}
