package org.verbenatally.forward;

/** Whether a request may be sent again when its response is lost. */
public enum RetrySafety {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request runs at most once. */
    AT_MOST_ONCE,
    /** A generation: runs at most once, and its response is a series of events that another engine may continue. */
    GENERATION
}
