package org.verbenatally.entry.operator;

/** How a request was served, as counted by the error budget. */
public enum ServiceResult {
    /** Complete and within its latency targets. */
    MET,
    /** Complete, but the first token or the complete response was late. */
    LATE,
    /** Complete, but too many of the gaps between tokens exceeded their latency target. */
    STALLED,
    /** Refused without being run. */
    REFUSED,
    /** Interrupted, or with an unknown outcome. */
    LOST
}
