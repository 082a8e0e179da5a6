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
 * @param concurrencyLimit most requests that this entry may have in flight there now
 * @param prefixTokens tokens of the prompt that the target is believed to have cached
 */
public record TargetSnapshot(
        TargetId target,
        FailureDomain failureDomain,
        int ownRequests,
        long ownTokens,
        long expectedOwnGrowth,
        int peerRequests,
        long peerTokens,
        Optional<LoadReport> report,
        int sentSinceReport,
        int concurrencyLimit,
        int prefixTokens) {

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
}
