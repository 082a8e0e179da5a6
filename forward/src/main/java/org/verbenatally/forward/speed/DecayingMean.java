package org.verbenatally.forward.speed;

/**
 * Weighted mean of observations whose weights decay exponentially. The influence of an outlier is bounded: an
 * observation counts as at most a given distance from the mean so far. Not thread-safe.
 */
final class DecayingMean {
    private final double halfLifeNanos;
    private final double maxDistance;
    private double sum;
    private double weight;
    private long updatedAt;

    /**
     * Creates a mean without observations.
     *
     * @param halfLifeNanos time in which the weight of an observation halves
     * @param maxDistance largest distance from the mean at which an observation is counted
     */
    DecayingMean(double halfLifeNanos, double maxDistance) {
        this.halfLifeNanos = halfLifeNanos;
        this.maxDistance = maxDistance;
    }

    /** Returns the share of a weight that is left after a time; times before the observation count as none. */
    static double decay(long elapsedNanos, double halfLifeNanos) {
        return elapsedNanos <= 0 ? 1 : Math.exp(-Math.log(2) * elapsedNanos / halfLifeNanos);
    }

    private void decayTo(long now) {
        double share = weight == 0 ? 1 : decay(now - updatedAt, halfLifeNanos);
        sum *= share;
        weight *= share;
        updatedAt = now;
    }

    /** Adds an observation; without earlier ones its distance is bounded from 0. */
    void add(double value, double valueWeight, long now) {
        decayTo(now);
        double mean = mean();
        sum += valueWeight * Math.clamp(value, mean - maxDistance, mean + maxDistance);
        weight += valueWeight;
    }

    /** Returns the mean, 0 without observations. */
    double mean() {
        return weight <= 0 ? 0 : sum / weight;
    }

    /** Returns the weight of all observations after decay. */
    double weight(long now) {
        return weight * (weight == 0 ? 1 : decay(now - updatedAt, halfLifeNanos));
    }

    void reset() {
        sum = 0;
        weight = 0;
    }
}
