package org.verbenatally.history;

import java.util.Locale;

/** The invariants that a history is checked against. */
public enum Rule {
    /** Tokens are delivered once, in order and from one generation. */
    TOKENS_ONCE,
    /** Each answer belongs to its request and is whole. */
    ANSWERS_MATCH,
    /** A request that was answered with {@code not-run} ran neither before nor later. */
    NOT_RUN_HELD,
    /** Non-repeatable work ran at most once. */
    AT_MOST_ONCE,
    /** A target that is leaving starts no new work once the bound has passed. */
    LEAVING_RESTS,
    /** The configuration version of an instance never falls, across its restarts too. */
    CONFIG_MONOTONIC,
    /** A planned stop cuts off no request. */
    STOP_IS_GRACEFUL;

    /** Returns the name as reports show it, for example {@code at-most-once}. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
