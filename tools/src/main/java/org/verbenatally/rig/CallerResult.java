package org.verbenatally.rig;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.platform.standin.PlatformMessages.Kind;
import org.verbenatally.platform.standin.RawMessage;

/**
 * What a caller got for a request that it waited for.
 *
 * @param id id of the request
 * @param kind kind of the request
 * @param instance name of the instance that was asked
 * @param millis time in milliseconds since the start of the run
 * @param response the response; empty if the connection was closed without one
 * @param disturbed whether the instance was suspended or stopped meanwhile
 */
record CallerResult(
        String id, Kind kind, String instance, long millis, Optional<RawMessage> response, boolean disturbed) {
    CallerResult {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(response, "response");
    }

    /** Returns the status, or 0 if there is none. */
    int status() {
        return response.map(RawMessage::secondWord)
                .filter(word -> word.matches("\\d{3}"))
                .map(Integer::parseInt)
                .orElse(0);
    }
}
