package org.verbenatally.policy;

import org.verbenatally.core.TargetId;

/**
 * One attempt in flight on a target. It counts against the target and the organisation until it ends, so each flight
 * must be ended exactly once; ending it again does nothing. Safe for use by several threads.
 */
public interface Flight {

    /** Returns the target that runs the attempt. */
    TargetId target();

    /** Counts one output token that arrived now. */
    void token();

    /** Ends the attempt and releases its place. */
    void end(FlightEnd end);
}
