package org.verbenatally.forward.cold;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What the head of a response says about the cold time of the target that sent it.
 *
 * @param left how much longer the target is cold; empty if it does not say so
 * @param malformed the field and the value that cannot be read; empty if there is none
 */
public record ColdNotice(Optional<Duration> left, Optional<String> malformed) {
    /** The head says nothing about it. */
    public static final ColdNotice NONE = new ColdNotice(Optional.empty(), Optional.empty());

    /** Checks that no component is {@code null}. */
    public ColdNotice {
        Objects.requireNonNull(left, "left");
        Objects.requireNonNull(malformed, "malformed");
    }

    /** Returns the notice of a target that is cold for a while, or is not cold any longer. */
    public static ColdNotice of(Duration left) {
        return left.isPositive() ? new ColdNotice(Optional.of(left), Optional.empty()) : NONE;
    }

    /** Returns the notice of a head whose statement cannot be read. */
    public static ColdNotice malformed(String reason) {
        return new ColdNotice(Optional.empty(), Optional.of(reason));
    }
}
