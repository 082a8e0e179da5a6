package org.verbenatally.policy;

/** How an attempt on a target ended. */
public enum FlightEnd {
    /** The target answered completely. */
    DONE,
    /** The target refused the work (503) and has not run it. */
    REFUSED,
    /** The attempt failed or timed out; the target is believed to be alive. */
    FAILED,
    /** No connection to the target could be made, so it has not run the work. */
    UNREACHABLE,
    /** The target died while the attempt ran: reset connection and a new incarnation or refused connections. */
    CRASHED,
    /** The caller or this entry ended the attempt. */
    CANCELLED
}
