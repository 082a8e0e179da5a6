package org.verbenatally.forward.speed;

import java.util.concurrent.TimeUnit;

/**
 * Time between two events of a generation at an engine of average speed: linear in the number of running generations,
 * and longer while the engine reads prompts between its steps. Estimated by least squares with decaying weights. Not
 * thread-safe.
 */
final class EventIntervalModel {
    /** Observations of one instance come from few engines at a time, so that the model needs a longer memory. */
    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** Running generations by which the slope is scaled, so that all coefficients are of similar size. */
    private static final double RUNNING_SCALE = 8;

    private static final double RIDGE = 0.5;
    /** Added to the diagonal to exclude a coefficient. */
    private static final double EXCLUDED = 1e9;
    /** Weight of observations from which on the model bounds the influence of further ones. */
    private static final double MIN_WEIGHT = 1;
    /** Largest ratio of an observed to the predicted interval that is counted. */
    private static final double MAX_RATIO = 2;

    private static final int COEFFICIENTS = 3;

    private final double[][] products = new double[COEFFICIENTS][COEFFICIENTS];
    private final double[] targets = new double[COEFFICIENTS];
    private double[] coefficients = new double[COEFFICIENTS];
    private long updatedAt;

    /** Returns whether there are enough observations for a prediction. */
    boolean isKnown() {
        return products[0][0] >= MIN_WEIGHT;
    }

    /** Returns the predicted interval in milliseconds. */
    double predict(double running, double reading) {
        return Math.max(0, coefficients[0] + coefficients[1] * running / RUNNING_SCALE + coefficients[2] * reading);
    }

    /**
     * Adds an observation.
     *
     * @param ms interval at an engine of average speed
     * @param running generations that run there
     * @param reading share of the time in which the engine read prompts, 0 to 1
     */
    void add(double ms, double running, double reading, double weight, long now) {
        double bounded = ms;
        if (isKnown()) {
            double predicted = predict(running, reading);
            bounded = Math.clamp(ms, predicted / MAX_RATIO, predicted * MAX_RATIO);
        }
        double share = products[0][0] == 0 ? 1 : DecayingMean.decay(now - updatedAt, HALF_LIFE_NANOS);
        double[] features = {1, running / RUNNING_SCALE, reading};
        for (int i = 0; i < COEFFICIENTS; i++) {
            for (int j = 0; j < COEFFICIENTS; j++) {
                products[i][j] = products[i][j] * share + weight * features[i] * features[j];
            }
            targets[i] = targets[i] * share + weight * features[i] * bounded;
        }
        updatedAt = now;
        fit();
    }

    /** Fits the coefficients; neither further generations nor prompts make an engine faster. */
    private void fit() {
        double[] ridge = {0, RIDGE, RIDGE};
        coefficients = solve(ridge);
        for (int i = 1; i < COEFFICIENTS; i++) {
            if (coefficients[i] < 0) {
                ridge[i] = EXCLUDED;
                coefficients = solve(ridge);
            }
        }
        for (int i = 1; i < COEFFICIENTS; i++) {
            coefficients[i] = Math.max(0, coefficients[i]);
        }
    }

    /** Solves the normal equations by elimination; they are positive definite thanks to the ridge. */
    private double[] solve(double[] ridge) {
        double[][] a = new double[COEFFICIENTS][COEFFICIENTS + 1];
        for (int i = 0; i < COEFFICIENTS; i++) {
            System.arraycopy(products[i], 0, a[i], 0, COEFFICIENTS);
            a[i][i] += ridge[i];
            a[i][COEFFICIENTS] = targets[i];
        }
        for (int i = 0; i < COEFFICIENTS; i++) {
            for (int row = i + 1; row < COEFFICIENTS; row++) {
                double factor = a[row][i] / a[i][i];
                for (int column = i; column <= COEFFICIENTS; column++) {
                    a[row][column] -= factor * a[i][column];
                }
            }
        }
        double[] x = new double[COEFFICIENTS];
        for (int i = COEFFICIENTS - 1; i >= 0; i--) {
            x[i] = a[i][COEFFICIENTS];
            for (int j = i + 1; j < COEFFICIENTS; j++) {
                x[i] -= a[i][j] * x[j];
            }
            x[i] /= a[i][i];
        }
        return x;
    }
}
