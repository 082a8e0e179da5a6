package org.verbenatally.policy;

import org.verbenatally.core.TargetId;

/**
 * One attempt of a request, in flight at a target. It counts against the limits of the target and the organisation
 * until it ends, so it must be ended; ending it again has no effect. Safe for use by several threads.
 */
public interface InFlightRequest {

    /** Returns the target that runs the attempt. */
    TargetId target();

    /** Records an output token that has just arrived. */
    void recordToken();

    /** Ends the attempt and releases its slot. */
    void end(AttemptEnd end);
}
