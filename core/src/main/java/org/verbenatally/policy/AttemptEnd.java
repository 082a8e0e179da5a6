package org.verbenatally.policy;

/** How an attempt on a target ended. */
public enum AttemptEnd {
    /** The target sent a complete response. */
    DONE,
    /** The target refused the work (503) and has not run it. */
    REFUSED,
    /** The attempt failed or timed out; the target is believed to be alive. */
    FAILED,
    /** No connection to the target could be made, so it has not run the work. */
    UNREACHABLE,
    /**
     * The target crashed while the attempt ran: the connection was reset, and the target then refused connections or
     * had a new incarnation.
     */
    CRASHED,
    /** The caller or this entry ended the attempt. */
    CANCELLED
}
