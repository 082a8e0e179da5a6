package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * How long to wait for a response.
 *
 * @param early time after which the wait may end early
 * @param limit time after which the wait ends in any case
 * @param mayEndEarly called once when the early time has passed; returns whether the wait ends then
 */
record ResponseTimeout(Duration early, Duration limit, BooleanSupplier mayEndEarly) {

    /** Checks that no component is {@code null}. */
    ResponseTimeout {
        Objects.requireNonNull(early, "early");
        Objects.requireNonNull(limit, "limit");
        Objects.requireNonNull(mayEndEarly, "mayEndEarly");
    }

    /** Returns a timeout that does not end early. */
    static ResponseTimeout of(Duration limit) {
        return new ResponseTimeout(limit, limit, () -> true);
    }
}
