package org.verbenatally.forward.admission;

/**
 * Memory of each engine that is kept free for more urgent generations.
 *
 * @param shortShare share of the memory for short generations, 0 to {@link #MAX_SHARE}
 * @param longShare share of the memory for long generations; both together are at most {@link #MAX_SHARE}
 */
public record MemoryReserve(double shortShare, double longShare) {
    /** Largest share of the memory that is reserved. */
    public static final double MAX_SHARE = 0.25;

    /** No reserve. */
    public static final MemoryReserve NONE = new MemoryReserve(0, 0);

    /**
     * Bounds the shares; the short generations take precedence.
     *
     * @throws IllegalArgumentException if a share is negative or not a number
     */
    public MemoryReserve {
        if (!(shortShare >= 0) || !(longShare >= 0)) {
            throw new IllegalArgumentException(
                    "reserved shares must not be negative: " + shortShare + ", " + longShare);
        }
        shortShare = Math.min(shortShare, MAX_SHARE);
        longShare = Math.min(longShare, MAX_SHARE - shortShare);
    }

    /** Returns the share that is reserved in total. */
    public double total() {
        return shortShare + longShare;
    }
}
