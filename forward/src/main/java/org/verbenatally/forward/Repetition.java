package org.verbenatally.forward;

/** What may be sent again when an answer is lost. */
public enum Repetition {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request runs at most once. */
    AT_MOST_ONCE,
    /** A generation: runs at most once, and its answer is a series of events that may continue at another engine. */
    GENERATION
}
