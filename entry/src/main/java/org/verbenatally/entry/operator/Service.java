package org.verbenatally.entry.operator;

/** How a request was served, as the error budget sees it. */
public enum Service {
    /** Complete and within its latency targets. */
    MET,
    /** Complete, but the first token or the whole answer came too late. */
    LATE,
    /** Complete, but too many gaps between tokens were too long. */
    STALLED,
    /** Refused; it did not run. */
    REFUSED,
    /** Cut off, or nobody can tell whether it ran. */
    LOST
}
