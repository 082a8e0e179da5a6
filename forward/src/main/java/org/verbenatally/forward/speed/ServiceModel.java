package org.verbenatally.forward.speed;

import java.util.concurrent.TimeUnit;

/**
 * Pooled service-time models of one service: the rate at which its engines read prompts, the time between the events of
 * a generation, and the time of a call. All describe a target of average speed. Each observation updates the estimate
 * of its target, compared with the prediction, and the models. Thread-safe.
 */
public final class ServiceModel {
    /** Prompt tokens that an engine reads in a millisecond while it runs a batch, before any observation. */
    public static final double INITIAL_READ_RATE = 7;

    private static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(20);
    /** Observations for which the initial rate and call time count. */
    private static final double PRIOR_WEIGHT = 4;
    /** Largest distance of an observation from the pooled mean, in logarithms. */
    private static final double MAX_DISTANCE = 0.7;
    /** Bound of the pooled read rate: the initial one times or divided by this. */
    private static final double MAX_RATE_CHANGE = 8;
    /**
     * Part of a target's estimated factor that is removed from its observations before they are pooled. With all of it,
     * a common error of all factors would never be corrected; with none, the models of an instance that sees slow
     * targets only would be slow.
     */
    private static final double NORMALISED_SHARE = 0.75;
    /** Shorter prompts tell more about the network than about the read rate. */
    private static final double MIN_READ_TOKENS = 256;

    private static final double FIRST_EVENT_WEIGHT = 0.5;
    private static final double CALL_WEIGHT = 0.5;
    /** Weight of one event interval: a stream has about 15 a second, which are not independent. */
    private static final double INTERVAL_WEIGHT = 0.06;

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final DecayingMean logReadRate = new DecayingMean(HALF_LIFE_NANOS, MAX_DISTANCE);
    private final EventIntervalModel intervals = new EventIntervalModel();
    private final DecayingMean logCallMs = new DecayingMean(HALF_LIFE_NANOS, MAX_DISTANCE);
    private double initialLogCallMs = Double.NaN;
    private volatile double readRate = INITIAL_READ_RATE;
    private volatile double callMs;

    /** Returns the prompt tokens that an engine of average speed read in a millisecond at the last observation. */
    public double readRate() {
        return readRate;
    }

    /**
     * Returns the prompt tokens that an engine of average speed reads in a millisecond. Without recent observations it
     * returns to the initial rate: a rate that was measured too low may keep all observations away.
     */
    public synchronized double readRate(long now) {
        double weight = logReadRate.weight(now);
        double change = Math.exp(logReadRate.mean() * weight / (weight + PRIOR_WEIGHT));
        return INITIAL_READ_RATE * Math.clamp(change, 1 / MAX_RATE_CHANGE, MAX_RATE_CHANGE);
    }

    /** Returns the time of a call to a target of average speed that is not fully busy, in milliseconds; 0: unknown. */
    public double callMs() {
        return callMs;
    }

    /**
     * Returns the time between two events at an engine of average speed, in milliseconds; 0 if it is not known.
     *
     * @param running generations that run there
     * @param reading share of the time in which the engine reads prompts, 0 to 1
     */
    public synchronized double eventMs(double running, double reading) {
        return intervals.isKnown() ? intervals.predict(running, reading) : 0;
    }

    /**
     * Records the time from a send to the first event.
     *
     * @param target the engine
     * @param tokens prompt tokens to read there at the time of the send, its own included
     * @param running generations that ran there
     * @param elapsedNanos the time
     * @param now monotonic time, in nanoseconds
     */
    public synchronized void observeFirstEvent(
            TargetSpeed target, double tokens, double running, long elapsedNanos, long now) {
        double logFactor = target.logFactor(now);
        double eventMs = eventMs(running, 1) * Math.exp(-logFactor);
        double ms = elapsedNanos / NANOS_PER_MS;
        // Where the event takes most of the time, the rest is too uncertain to be divided by.
        double readMs = Math.max(ms - eventMs, ms / 2);
        if (tokens < MIN_READ_TOKENS || readMs <= 0) {
            return;
        }
        double log = Math.log(tokens / readMs);
        target.observe(log - Math.log(readRate(now)), FIRST_EVENT_WEIGHT, now);
        logReadRate.add(log - NORMALISED_SHARE * logFactor - Math.log(INITIAL_READ_RATE), FIRST_EVENT_WEIGHT, now);
        readRate = readRate(now);
    }

    /**
     * Records the time that a running generation took for some events.
     *
     * @param target the engine
     * @param events number of events
     * @param running generations that ran there
     * @param reading share of the time in which the engine read prompts, 0 to 1
     * @param elapsedNanos time from the event before them to the last one
     * @param now monotonic time, in nanoseconds
     */
    public synchronized void observeEvents(
            TargetSpeed target, int events, double running, double reading, long elapsedNanos, long now) {
        if (events < 1 || elapsedNanos <= 0) {
            return;
        }
        double ms = elapsedNanos / NANOS_PER_MS / events;
        double logFactor = target.logFactor(now);
        double predicted = eventMs(running, reading);
        if (predicted > 0) {
            target.observe(Math.log(predicted / ms), INTERVAL_WEIGHT * events, now);
        }
        intervals.add(ms * Math.exp(NORMALISED_SHARE * logFactor), running, reading, INTERVAL_WEIGHT * events, now);
    }

    /**
     * Records the time of a call to a plain target.
     *
     * @param target the target
     * @param inFlight calls in flight there when it was sent, itself included
     * @param slots calls that the target serves at once; 0 counts as 1
     * @param elapsedNanos the time
     * @param now monotonic time, in nanoseconds
     */
    public synchronized void observeCall(TargetSpeed target, double inFlight, int slots, long elapsedNanos, long now) {
        if (elapsedNanos <= 0) {
            return;
        }
        double log = Math.log(elapsedNanos / NANOS_PER_MS / Math.max(1, inFlight / Math.max(1, slots)));
        double logFactor = target.logFactor(now);
        if (Double.isNaN(initialLogCallMs)) {
            initialLogCallMs = log + NORMALISED_SHARE * logFactor;
        } else {
            target.observePeak(Math.exp(log - Math.log(callMs) + logFactor), now);
            target.observe(Math.log(callMs) - log, CALL_WEIGHT, now);
        }
        logCallMs.add(log + NORMALISED_SHARE * logFactor - initialLogCallMs, CALL_WEIGHT, now);
        callMs = Math.exp(initialLogCallMs + logCallMs.mean());
    }
}
