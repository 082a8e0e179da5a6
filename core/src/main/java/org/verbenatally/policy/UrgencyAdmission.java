package org.verbenatally.policy;

import java.time.Duration;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Kind.Urgency;
import org.verbenatally.config.Kind.Value;
import org.verbenatally.policy.AdmissionDecision.Admit;
import org.verbenatally.policy.AdmissionDecision.Queue;
import org.verbenatally.policy.AdmissionDecision.Refuse;

/**
 * Admits if there is room, queues if the wait is worth it, and refuses at once otherwise. An organisation may fill at
 * most half of the places that are left in the queue, so that a burst of one leaves room for the others.
 */
final class UrgencyAdmission implements AdmissionPolicy {
    private static final Duration LEAST_RETRY = Duration.ofMillis(500);
    private static final Duration LONGEST_RETRY = Duration.ofSeconds(30);

    @Override
    public AdmissionDecision decide(AdmissionInput input) {
        if (input.openOfOrganisation() >= input.organisation().maxStreams()) {
            return new Refuse("the organisation has too many open requests", retry(input.expectedWait()));
        }
        if (input.timeLeft().isZero() || input.timeLeft().isNegative()) {
            return new Refuse("the deadline has passed", LEAST_RETRY);
        }
        if (input.room()) {
            return new Admit();
        }
        if (input.queued() >= input.maxQueued()) {
            return new Refuse("too many requests wait", retry(input.expectedWait()));
        }
        int left = input.maxQueued() - input.queued();
        if (input.queuedOfOrganisation() > left) {
            return new Refuse("too many requests of the organisation wait", retry(input.expectedWait()));
        }
        Duration longest = longestWait(input.kind(), input.timeLeft());
        if (input.expectedWait().compareTo(longest) > 0) {
            return new Refuse("the wait would be too long", retry(input.expectedWait()));
        }
        return new Queue();
    }

    /** Returns the longest wait after which the answer is still worth something. */
    private static Duration longestWait(Kind kind, Duration timeLeft) {
        boolean high = kind.value() == Value.HIGH;
        Duration most = kind.urgency() == Urgency.URGENT
                ? Duration.ofMillis(high ? 1000 : 400)
                : Duration.ofSeconds(high ? 30 : 10);
        Duration half = timeLeft.dividedBy(2);
        return half.compareTo(most) < 0 ? half : most;
    }

    private static Duration retry(Duration wait) {
        if (wait.compareTo(LEAST_RETRY) < 0) {
            return LEAST_RETRY;
        }
        return wait.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : wait;
    }
}
