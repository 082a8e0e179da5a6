package org.verbenatally.forward.speed;

/**
 * Speed of one target as one instance has measured it, as reported to peers.
 *
 * @param permille speed in thousandths of the average of the service
 * @param weight weight of the measurement in hundredths of an observation; 0 if the target was not measured
 */
public record SpeedReport(int permille, int weight) {
    /** The target was not measured. */
    public static final SpeedReport NONE = new SpeedReport(1_000, 0);

    private static final double PERMILLE = 1_000;
    private static final double HUNDREDTHS = 100;

    static SpeedReport of(double logFactor, double weight) {
        return new SpeedReport((int) Math.round(PERMILLE * Math.exp(logFactor)), (int) Math.round(HUNDREDTHS * weight));
    }

    double logFactor() {
        return Math.log(permille / PERMILLE);
    }

    double observations() {
        return weight / HUNDREDTHS;
    }
}
