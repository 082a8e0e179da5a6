package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.policy.Fingerprint;

/**
 * An accepted request, which may be sent to a target.
 *
 * @param head what it states about itself
 * @param route its route
 * @param service its service
 * @param organisation organisation of its caller, if known
 * @param body its complete body
 * @param fingerprint the same for each retry by the caller
 * @param deadlineNanos monotonic time, in nanoseconds, at which its response is of no more use
 */
record ForwardedRequest(
        RequestHead head,
        Route route,
        ServiceSpec service,
        Optional<OrganisationId> organisation,
        Buffer body,
        Fingerprint fingerprint,
        long deadlineNanos) {

    /** Returns the time until the deadline; negative after the deadline. */
    Duration remaining(long now) {
        return Duration.ofNanos(deadlineNanos - now);
    }

    String id() {
        return head.id();
    }
}
