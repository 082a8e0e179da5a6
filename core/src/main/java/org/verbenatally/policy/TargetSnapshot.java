package org.verbenatally.policy;

import java.util.Optional;

import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;

/**
 * What this entry knows of one candidate target at the moment of a decision.
 *
 * @param target its id
 * @param failureDomain where it runs
 * @param ownRequests requests in flight from this entry
 * @param ownTokens tokens (prompt and output so far) held by those requests
 * @param expectedOwnGrowth tokens that those requests are expected to add
 * @param peerRequests requests in flight from other entries, as last heard
 * @param peerTokens tokens held by those requests, as last heard
 * @param report the latest load report, if one arrived
 * @param sentSinceReport requests sent by this entry after the report was made
 * @param estimate the load now: the report corrected by what is known to have changed since
 * @param concurrencyLimit most requests over all entries that the target serves within the token gap target
 * @param maxConcurrent most requests over all entries that the configuration allows
 * @param prefixTokens tokens of the prompt that the target is believed to have cached
 * @param claim whether this entry may take a free place there in this interval, if every entry wants one
 */
public record TargetSnapshot(
        TargetId target,
        FailureDomain failureDomain,
        int ownRequests,
        long ownTokens,
        double expectedOwnGrowth,
        int peerRequests,
        long peerTokens,
        Optional<LoadReport> report,
        int sentSinceReport,
        Estimate estimate,
        double concurrencyLimit,
        int maxConcurrent,
        int prefixTokens,
        Claim claim) {

    /**
     * A checked load report.
     *
     * @param ageMs time since the target made it, as estimated here, in milliseconds
     * @param running requests in the target's batch
     * @param waiting requests that wait at the target
     * @param kvUsedTokens tokens held in key-value memory
     * @param kvCapacityTokens tokens that key-value memory can hold
     * @param preemptions preemptions since the target started
     */
    public record LoadReport(
            long ageMs, int running, int waiting, long kvUsedTokens, long kvCapacityTokens, long preemptions) {}

    /**
     * The estimated load of a target now.
     *
     * @param requests requests in flight over all entries
     * @param kvTokens tokens held in key-value memory, those of requests that still wait there included
     * @param forecast what those requests are expected to hold from now on
     * @param kvCapacityTokens size of the key-value memory in tokens; 0 if it is not known
     * @param margin share of the memory to keep free, from the preemptions seen
     */
    public record Estimate(
            double requests, double kvTokens, KvForecast forecast, double kvCapacityTokens, double margin) {}

    /**
     * The part of a target's free places that this entry may take before it hears again what its peers have sent. It
     * keeps entries with the same view from filling the same place.
     *
     * @param entries entries that compete
     * @param taken places taken by this entry in the present interval
     * @param draw uniform random number of the present interval, 0 to 1; rounds fractions of a place
     */
    public record Claim(int entries, int taken, double draw) {

        /** Tells whether one more place may be taken out of {@code free} places that are left now. */
        public boolean allows(double free) {
            return free >= 1 && Math.floor((free + taken) / entries + draw) > taken;
        }
    }
}
