package org.verbenatally.policy;

import java.time.Duration;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Kind.Urgency;
import org.verbenatally.config.Kind.Value;
import org.verbenatally.policy.AdmissionDecision.Admit;
import org.verbenatally.policy.AdmissionDecision.Queue;
import org.verbenatally.policy.AdmissionDecision.Refuse;

/**
 * Admits a request if a target has capacity, queues it if the wait is worthwhile, and otherwise refuses it at once. An
 * organisation may fill at most half of the free slots of the queue, so that a burst of one organisation leaves slots
 * for the others.
 */
final class UrgencyAdmission implements AdmissionPolicy {
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(500);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

    @Override
    public AdmissionDecision decide(AdmissionInput input) {
        if (input.organisationOpenRequests() >= input.organisation().maxStreams()) {
            return new Refuse("the organisation has too many open requests", retryAfter(input.expectedWait()));
        }
        if (input.remainingTime().isZero() || input.remainingTime().isNegative()) {
            return new Refuse("the deadline has passed", MIN_RETRY_AFTER);
        }
        if (input.hasCapacity()) {
            return new Admit();
        }
        if (input.queuedRequests() >= input.maxQueued()) {
            return new Refuse("too many requests wait", retryAfter(input.expectedWait()));
        }
        int freeSlots = input.maxQueued() - input.queuedRequests();
        if (input.organisationQueuedRequests() > freeSlots) {
            return new Refuse("too many requests of the organisation wait", retryAfter(input.expectedWait()));
        }
        Duration maxWait = maxWait(input.kind(), input.remainingTime());
        if (input.expectedWait().compareTo(maxWait) > 0) {
            return new Refuse("the wait would be too long", retryAfter(input.expectedWait()));
        }
        return new Queue();
    }

    /** Returns the longest wait after which the response is still useful. */
    private static Duration maxWait(Kind kind, Duration remainingTime) {
        boolean high = kind.value() == Value.HIGH;
        Duration limit = kind.urgency() == Urgency.URGENT
                ? Duration.ofMillis(high ? 1000 : 400)
                : Duration.ofSeconds(high ? 30 : 10);
        Duration half = remainingTime.dividedBy(2);
        return half.compareTo(limit) < 0 ? half : limit;
    }

    private static Duration retryAfter(Duration expectedWait) {
        if (expectedWait.compareTo(MIN_RETRY_AFTER) < 0) {
            return MIN_RETRY_AFTER;
        }
        return expectedWait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : expectedWait;
    }
}
