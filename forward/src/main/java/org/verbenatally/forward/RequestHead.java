package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.PromptPartId;

/**
 * The values that an instance reads from the head of a caller's request.
 *
 * @param id id of this request; each retry by the caller has its own
 * @param host host that it names
 * @param path path without query
 * @param credential credential that identifies the caller's organisation
 * @param callerTimeout how long the caller waits for the response, if it states that
 * @param generation the generation that it asks for, if it asks for one
 * @param sharedParts parts of its prompt that other requests may have in common with it, in order
 */
public record RequestHead(
        String id,
        String host,
        String path,
        Optional<String> credential,
        Optional<Duration> callerTimeout,
        Optional<Generation> generation,
        List<PromptPartId> sharedParts) {

    /** Longest timeout that is counted; a longer one is treated as this one, so that deadlines cannot overflow. */
    private static final Duration MAX_CALLER_TIMEOUT = Duration.ofDays(1);

    /** Checks that id, host, path and parts are not {@code null}. */
    public RequestHead {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(path, "path");
        callerTimeout = callerTimeout.map(t -> t.compareTo(MAX_CALLER_TIMEOUT) > 0 ? MAX_CALLER_TIMEOUT : t);
        sharedParts = List.copyOf(sharedParts);
    }
}
