package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/**
 * What a caller's request says about itself.
 *
 * @param id id of this request; each repetition by the caller has its own
 * @param host host that it names
 * @param path path without query
 * @param credential what proves the caller's organisation
 * @param patience how long the caller waits
 * @param generation the generation that it asks for, if it does
 */
public record RequestHead(
        String id,
        String host,
        String path,
        Optional<String> credential,
        Optional<Duration> patience,
        Optional<Generation> generation) {

    /** Checks that the parts are there. */
    public RequestHead {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(path, "path");
    }
}
