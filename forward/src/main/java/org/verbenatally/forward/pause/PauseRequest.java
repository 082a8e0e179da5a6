package org.verbenatally.forward.pause;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What the head of a response says about a pause in which its target wants no further requests.
 *
 * @param length length of the pause, from the response on; empty if the target asks for none
 * @param malformed the field and the value that cannot be read; empty if there is none
 */
public record PauseRequest(Optional<Duration> length, Optional<String> malformed) {
    /** The head says nothing about it. */
    public static final PauseRequest NONE = new PauseRequest(Optional.empty(), Optional.empty());

    /** Checks that no component is {@code null}. */
    public PauseRequest {
        Objects.requireNonNull(length, "length");
        Objects.requireNonNull(malformed, "malformed");
    }

    /** Returns the request for a pause, or {@link #NONE} if its length is not positive. */
    public static PauseRequest of(Duration length) {
        return length.isPositive() ? new PauseRequest(Optional.of(length), Optional.empty()) : NONE;
    }

    /** Returns what is known of a head whose statement cannot be read. */
    public static PauseRequest malformed(String reason) {
        return new PauseRequest(Optional.empty(), Optional.of(reason));
    }
}
