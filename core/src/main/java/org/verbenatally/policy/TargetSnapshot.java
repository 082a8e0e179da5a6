package org.verbenatally.policy;

import java.util.Optional;

import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.TargetId;

/**
 * What this entry knows about one candidate target at the time of a decision.
 *
 * @param target its id
 * @param failureDomain the failure domain in which it runs
 * @param ownRequests requests in flight from this entry
 * @param ownTokens tokens (prompt and output so far) held by those requests
 * @param expectedOwnGrowth tokens that those requests are expected to add
 * @param peerRequests requests in flight from other entries, as last received
 * @param peerTokens tokens held by those requests, as last received
 * @param report the latest load report, if one was received and is not too old
 * @param sentSinceReport requests sent by this entry after the report was created
 * @param estimate the current load: the report, corrected by what is known to have changed since
 * @param concurrencyLimit most requests over all entries that the target serves within the token gap target
 * @param maxConcurrent most requests over all entries that the configuration allows
 * @param prefixTokens tokens of the prompt that the target is believed to have cached
 * @param slotQuota limits the free slots that this entry may take there in this interval, in case every entry wants one
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
        SlotQuota slotQuota) {

    /**
     * A checked load report.
     *
     * @param ageMs time since the target created it, as estimated here, in milliseconds
     * @param running requests in the target's batch
     * @param waiting requests that wait at the target
     * @param kvUsedTokens tokens held in key-value memory
     * @param kvCapacityTokens tokens that key-value memory can hold
     * @param preemptions preemptions since the target started
     */
    public record LoadReport(
            long ageMs, int running, int waiting, long kvUsedTokens, long kvCapacityTokens, long preemptions) {}

    /**
     * The estimated current load of a target.
     *
     * @param requests requests in flight over all entries
     * @param kvTokens tokens held in key-value memory, including those of requests that still wait there
     * @param forecast expected use of key-value memory by those requests from now on
     * @param kvCapacityTokens size of the key-value memory in tokens; 0 if it is not known
     * @param margin share of the memory to keep free, derived from the preemptions seen
     */
    public record Estimate(
            double requests, double kvTokens, KvForecast forecast, double kvCapacityTokens, double margin) {}

    /**
     * The part of a target's free slots that this entry may take before it next receives what its peers have sent
     * there. It keeps entries that see the same loads from filling the same slot.
     *
     * @param entries number of entries that compete
     * @param slotsTaken slots taken by this entry in the current interval
     * @param randomSample uniform random sample of the current interval, 0 to 1; rounds fractions of a slot
     */
    public record SlotQuota(int entries, int slotsTaken, double randomSample) {

        /** Returns whether one more slot may be taken when {@code freeSlots} slots are free now. */
        public boolean allows(double freeSlots) {
            return freeSlots >= 1 && Math.floor((freeSlots + slotsTaken) / entries + randomSample) > slotsTaken;
        }
    }
}
