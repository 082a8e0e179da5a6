package org.verbenatally.policy;

import java.time.Duration;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;

/**
 * Input of an admission decision.
 *
 * @param kind the kind of work
 * @param organisation whose work it is
 * @param timeLeft time until the request's deadline
 * @param open open requests at this entry
 * @param openOfOrganisation open requests of the organisation at this entry
 * @param queued requests that wait at this entry
 * @param queuedOfOrganisation waiting requests of the organisation at this entry
 * @param maxQueued most requests that may wait at this entry
 * @param room whether some target has room for this kind now
 * @param expectedWait time that a request of this kind is expected to wait now
 */
public record AdmissionInput(
        Kind kind,
        Organisation organisation,
        Duration timeLeft,
        int open,
        int openOfOrganisation,
        int queued,
        int queuedOfOrganisation,
        int maxQueued,
        boolean room,
        Duration expectedWait) {}
