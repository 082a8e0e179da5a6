package org.verbenatally.forward.speed;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.verbenatally.core.InstanceId;

/**
 * Speed of one target relative to the average of its service: 1 for average, 2 for twice as fast. Combines the own
 * observations with the reports of peers as a weighted mean of logarithms, shrunk towards 1 by a prior weight.
 * Observations and reports decay, so that a target without recent ones counts as average and gets work again.
 * Thread-safe.
 */
public final class TargetSpeed {
    /** Lowest and highest factor. */
    public static final double MIN_FACTOR = 0.25;

    /** Highest factor. */
    public static final double MAX_FACTOR = 4;

    /** Factors between this and {@link #DEAD_BAND_END} count as 1, so that noise does not affect equal targets. */
    static final double DEAD_BAND_START = 0.85;

    static final double DEAD_BAND_END = 1.18;
    /** Targets slow down for 0.6 s at a time without being slow; this is several times longer. */
    static final double HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Largest distance of an observation from the estimate, in logarithms: a factor of 1.65. */
    private static final double MAX_DISTANCE = 0.5;
    /** Observations of average speed that are assumed for each target. */
    static final double PRIOR_WEIGHT = 2;
    /** Largest weight of one peer; less than that of the prior, so that no peer decides alone. */
    static final double MAX_PEER_WEIGHT = 1.5;

    /** Largest distance of a peer's estimate from average that is counted, in logarithms: a factor of 2.5. */
    private static final double MAX_PEER_DISTANCE = 0.9;

    private static final double MAX_OWN_WEIGHT = 8;
    /** Own estimates of less weight are not reported. */
    private static final double MIN_REPORTED_WEIGHT = 0.25;
    /** Time for which a computed factor is used again; a choice reads the factors of all targets. */
    private static final long CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Ratio of the measured to the predicted time of a call from which on a target counts as stalled for a while. */
    private static final double MIN_PEAK = 2;

    private static final double MAX_PEAK = 4;
    /** Stalls last about this long. */
    private static final double PEAK_HALF_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    private record Received(SpeedReport report, double weight, long at) {}

    private final DecayingMean own = new DecayingMean(HALF_LIFE_NANOS, MAX_DISTANCE);
    private final Map<InstanceId, Received> peers = new HashMap<>();
    /** Sums over the reports of all peers, decayed to {@link #peersAt}: all decay alike, so no report is read again. */
    private double peersSum;

    private double peersWeight;
    private long peersAt;
    private long cachedAt;
    private double cachedLog;
    private boolean cached;
    private double peak = 1;
    private long peakAt;
    private boolean outsideDeadBand;

    /**
     * Adds an own observation.
     *
     * @param logFactor logarithm of predicted by measured time
     * @param weight its weight, 1 for a whole observation
     * @param now monotonic time, in nanoseconds
     */
    synchronized void observe(double logFactor, double weight, long now) {
        own.add(clampLog(logFactor), weight, now);
        cached = false;
    }

    private static double clampLog(double logFactor) {
        return Math.clamp(logFactor, Math.log(MIN_FACTOR), Math.log(MAX_FACTOR));
    }

    /**
     * Replaces the report of a peer. A report that is equal to the one before is the same one, and its age counts from
     * its first arrival.
     *
     * @param now monotonic time, in nanoseconds
     */
    public synchronized void onReport(InstanceId peer, SpeedReport report, long now) {
        Received before = peers.get(peer);
        if (before == null ? report.weight() <= 0 : before.report().equals(report)) {
            return;
        }
        decayPeers(now);
        if (before != null) {
            add(before, -DecayingMean.decay(now - before.at(), HALF_LIFE_NANOS));
        }
        if (report.weight() <= 0) {
            peers.remove(peer);
        } else {
            Received received = new Received(report, Math.min(MAX_PEER_WEIGHT, report.observations()), now);
            peers.put(peer, received);
            add(received, 1);
        }
        if (peers.isEmpty()) {
            peersSum = 0;
            peersWeight = 0;
        }
        cached = false;
    }

    private void add(Received received, double share) {
        double logFactor = Math.clamp(received.report().logFactor(), -MAX_PEER_DISTANCE, MAX_PEER_DISTANCE);
        peersSum += share * received.weight() * logFactor;
        peersWeight = Math.max(0, peersWeight + share * received.weight());
    }

    private void decayPeers(long now) {
        double share = DecayingMean.decay(now - peersAt, HALF_LIFE_NANOS);
        peersSum *= share;
        peersWeight *= share;
        peersAt = now;
    }

    /**
     * Records how much longer than predicted a call took, also in comparison with the other calls to the target.
     *
     * @param slowdown measured by predicted time
     */
    synchronized void observePeak(double slowdown, long now) {
        if (slowdown >= MIN_PEAK && slowdown >= peakSlowdown(now)) {
            peak = Math.min(MAX_PEAK, slowdown);
            peakAt = now;
        }
    }

    /** Returns how much slower than its factor the target counts after a stall, 1 when the stall is long over. */
    public synchronized double peakSlowdown(long now) {
        if (peak > 1) {
            double held = 1 + (peak - 1) * DecayingMean.decay(now - peakAt, PEAK_HALF_LIFE_NANOS);
            if (held * held < MIN_PEAK) {
                peak = 1;
            }
            return peak == 1 ? 1 : held;
        }
        return 1;
    }

    /** Returns whether the factor has left the dead band or returned to it since the last call. */
    public synchronized boolean updateDeadBand(long now) {
        boolean outside = factor(now) != 1;
        boolean changed = outside != outsideDeadBand;
        outsideDeadBand = outside;
        return changed;
    }

    /** Forgets all observations, since the target has restarted; reports on its earlier run are not counted again. */
    public synchronized void reset() {
        own.reset();
        peers.replaceAll((peer, received) -> new Received(received.report(), 0, received.at()));
        peersSum = 0;
        peersWeight = 0;
        cached = false;
        peak = 1;
    }

    /** Returns the logarithm of the factor, without the dead band. */
    synchronized double logFactor(long now) {
        if (!cached || now - cachedAt > CACHE_NANOS) {
            double ownWeight = Math.min(MAX_OWN_WEIGHT, own.weight(now));
            double peersShare = peersWeight == 0 ? 0 : DecayingMean.decay(now - peersAt, HALF_LIFE_NANOS);
            double sum = ownWeight * own.mean() + peersShare * peersSum;
            cachedLog = clampLog(sum / (PRIOR_WEIGHT + ownWeight + peersShare * peersWeight));
            cachedAt = now;
            cached = true;
        }
        return cachedLog;
    }

    /**
     * Returns the factor to use for decisions.
     *
     * @param now monotonic time, in nanoseconds
     * @return 1 within the dead band, otherwise between {@link #MIN_FACTOR} and {@link #MAX_FACTOR}
     */
    public double factor(long now) {
        double factor = Math.clamp(Math.exp(logFactor(now)), MIN_FACTOR, MAX_FACTOR);
        return factor >= DEAD_BAND_START && factor <= DEAD_BAND_END ? 1 : factor;
    }

    /** Returns the own estimate, without the reports of peers; {@link SpeedReport#NONE} if its weight is negligible. */
    public synchronized SpeedReport ownReport(long now) {
        double weight = own.weight(now);
        return weight < MIN_REPORTED_WEIGHT ? SpeedReport.NONE : SpeedReport.of(clampLog(own.mean()), weight);
    }
}
