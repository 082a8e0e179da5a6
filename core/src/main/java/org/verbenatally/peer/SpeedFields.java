package org.verbenatally.peer;

import java.util.concurrent.TimeUnit;

import org.verbenatally.wire.TargetLoad;

/** Rules for the measured speed of a target in a {@link TargetLoad}: which values are valid, and which are news. */
final class SpeedFields {
    private static final int MIN_PERMILLE = 250;
    private static final int MAX_PERMILLE = 4_000;
    /** Smallest ratio of a new to the last reported speed that is reported on its own. */
    private static final double MIN_SPEED_RATIO = 1.1;
    /** Smallest ratio of the weight to what is left of it at the receivers that is reported on its own. */
    private static final double MIN_WEIGHT_RATIO = 2;
    /** Receivers halve the weight of a report in this time. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** A target's speed alone causes at most two reports a second. */
    private static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private SpeedFields() {}

    static boolean isSet(TargetLoad load) {
        return load.isSetSpeedPermille() && load.isSetSpeedWeight();
    }

    /** Returns whether the fields are absent or valid. */
    static boolean areValid(TargetLoad load) {
        if (!load.isSetSpeedPermille() && !load.isSetSpeedWeight()) {
            return true;
        }
        return isSet(load)
                && load.getSpeedPermille() >= MIN_PERMILLE
                && load.getSpeedPermille() <= MAX_PERMILLE
                && load.getSpeedWeight() >= 0;
    }

    /** Returns the load without the fields. */
    static TargetLoad without(TargetLoad load) {
        TargetLoad copy = new TargetLoad(load);
        copy.unsetSpeedPermille();
        copy.unsetSpeedWeight();
        return copy;
    }

    /**
     * Returns whether a speed differs enough from the one last reported to be reported on its own. A speed that is no
     * longer measured is not: the receivers let its weight decay.
     *
     * @param before the load last reported, or {@code null}
     * @param age time since then, in nanoseconds
     */
    static boolean isNews(TargetLoad before, TargetLoad load, long age) {
        if (!isSet(load) || before != null && age < MIN_INTERVAL_NANOS) {
            return false;
        }
        if (before == null || !isSet(before)) {
            return true;
        }
        double speedRatio = (double) load.getSpeedPermille() / before.getSpeedPermille();
        double left = before.getSpeedWeight() * Math.pow(0.5, age / HALF_LIFE_NANOS);
        return speedRatio >= MIN_SPEED_RATIO
                || speedRatio <= 1 / MIN_SPEED_RATIO
                || load.getSpeedWeight() >= MIN_WEIGHT_RATIO * left;
    }
}
