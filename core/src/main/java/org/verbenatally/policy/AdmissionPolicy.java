package org.verbenatally.policy;

/** Decides what to do with a request that has just arrived. */
@FunctionalInterface
public interface AdmissionPolicy {

    /** Returns the decision. */
    AdmissionDecision decide(AdmissionInput input);
}
