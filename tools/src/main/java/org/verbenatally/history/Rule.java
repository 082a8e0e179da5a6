package org.verbenatally.history;

import java.util.Locale;

/** The invariants that a history is checked against. */
public enum Rule {
    /** Tokens are delivered once, in order and from one generation. */
    TOKENS_ONCE,
    /** Each response is complete and belongs to its request. */
    ANSWERS_MATCH,
    /** A request that was answered with {@code not-run} ran neither before nor after that response. */
    NOT_RUN_HELD,
    /** Non-repeatable work ran at most once. */
    AT_MOST_ONCE,
    /** A leaving target starts no new work once the permitted delay has passed. */
    LEAVING_RESTS,
    /** The configuration version of an instance never decreases, not even across restarts. */
    CONFIG_MONOTONIC,
    /** A planned stop does not cut off any request. */
    STOP_IS_GRACEFUL;

    /** Returns the name used in reports, for example {@code at-most-once}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
