package org.verbenatally.policy;

import java.time.Duration;
import java.util.Optional;

/** Decides whether a failed attempt is retried. */
@FunctionalInterface
public interface RetryPolicy {

    /** Returns the delay before the next attempt, or empty if there must be none. */
    Optional<Duration> decide(RetryInput input);
}
