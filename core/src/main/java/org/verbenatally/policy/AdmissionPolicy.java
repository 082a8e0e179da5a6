package org.verbenatally.policy;

/** Decides whether a request that has just arrived runs, waits or is refused. */
@FunctionalInterface
public interface AdmissionPolicy {

    /** Returns the decision. */
    AdmissionDecision decide(AdmissionInput input);
}
