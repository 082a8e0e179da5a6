package org.verbenatally.policy;

import java.time.Duration;

/** What an entry does with a request that has just arrived. */
public sealed interface AdmissionDecision {

    /** The request runs now. */
    record Admit() implements AdmissionDecision {}

    /** The request waits for room in the entry's queue. */
    record Queue() implements AdmissionDecision {}

    /**
     * The request is refused and has not run.
     *
     * @param reason one short sentence
     * @param retryAfter when a new try makes sense
     */
    record Refuse(String reason, Duration retryAfter) implements AdmissionDecision {}
}
