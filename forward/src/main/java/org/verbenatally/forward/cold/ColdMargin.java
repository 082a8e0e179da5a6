package org.verbenatally.forward.cold;

/**
 * How far the requests that a cold target gets in one second may exceed the number that it can handle. At most
 * {@code perSecond * factor + slack} requests may reach it in any second, summed over all instances.
 *
 * @param factor factor of the number that the target can handle in a second, from 0
 * @param slack requests beyond that, from 0
 */
public record ColdMargin(double factor, double slack) {
    /** Larger values can only be mistakes; products with them still fit into an integer after clamping. */
    private static final double MAX_FACTOR = 1_000;

    private static final double MAX_SLACK = 1_000_000;

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if a number is negative, too large or no number
     */
    public ColdMargin {
        if (!(factor >= 0 && factor <= MAX_FACTOR) || !(slack >= 0 && slack <= MAX_SLACK)) {
            throw new IllegalArgumentException("factor and slack for cold targets must be from 0 to " + MAX_FACTOR
                    + " and from 0 to " + MAX_SLACK);
        }
    }
}
