package org.verbenatally.policy;

import java.time.Duration;

/** The decision on a request that has just arrived. */
public sealed interface AdmissionDecision {

    /** The request runs now. */
    record Admit() implements AdmissionDecision {}

    /** The request waits in the entry's queue until a target has capacity. */
    record Queue() implements AdmissionDecision {}

    /**
     * The request is refused and has not run.
     *
     * @param reason one short sentence
     * @param retryAfter time after which the caller should retry
     */
    record Refuse(String reason, Duration retryAfter) implements AdmissionDecision {}
}
