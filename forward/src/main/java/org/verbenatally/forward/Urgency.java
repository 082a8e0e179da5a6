package org.verbenatally.forward;

/** Order in which an engine admits generations, and the reverse order in which it interrupts them. */
public enum Urgency {
    /** The generation has started at another engine, and its caller is reading it. */
    CONTINUED,
    /** The generation can start on time. */
    NORMAL,
    /** The generation has found no engine with capacity; it must not delay or interrupt others. */
    FILLING
}
