package org.verbenatally.forward;

/** Rank by which an engine admits generations, and the reverse order in which it interrupts them. */
public enum AdmissionRank {
    /** The generation has started at another engine, and its caller is reading it. */
    CONTINUED,
    /** The generation can start on time. */
    NORMAL,
    /** As {@link #NORMAL}, in a service that also has generations that are more urgent by two ranks or more. */
    NORMAL_OUTRANKED,
    /** The generation has found no engine with capacity; it must not delay or interrupt others. */
    FILLING,
    /** As {@link #FILLING}, in a service that also has generations that are more urgent by two ranks or more. */
    FILLING_OUTRANKED
}
