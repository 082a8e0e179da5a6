package org.verbenatally.policy;

import java.time.Duration;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;

/**
 * Input of an admission decision.
 *
 * @param kind the kind of work
 * @param organisation the organisation that the work belongs to
 * @param remainingTime time until the request's deadline
 * @param openRequests requests in flight or queued at this entry
 * @param organisationOpenRequests requests of the organisation in flight or queued at this entry
 * @param queuedRequests requests queued at this entry
 * @param organisationQueuedRequests requests of the organisation queued at this entry
 * @param maxQueued largest number of requests that may be queued at this entry
 * @param hasCapacity whether some target has capacity for this kind now
 * @param expectedWait time that a request of this kind is expected to wait if it is queued now
 */
public record AdmissionInput(
        Kind kind,
        Organisation organisation,
        Duration remainingTime,
        int openRequests,
        int organisationOpenRequests,
        int queuedRequests,
        int organisationQueuedRequests,
        int maxQueued,
        boolean hasCapacity,
        Duration expectedWait) {}
