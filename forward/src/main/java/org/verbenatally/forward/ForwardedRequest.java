package org.verbenatally.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.verbenatally.core.OrganisationId;
import org.verbenatally.core.Trait;
import org.verbenatally.forward.admission.RankInService;

/**
 * An accepted request, which may be sent to a target.
 *
 * @param head what it states about itself
 * @param route its route
 * @param service its service
 * @param rank its rank among the generations of the service
 * @param queueRank rank among the generations that wait at this instance, 0 first
 * @param organisation organisation of its caller, if known
 * @param body its complete body
 * @param traits what it has in common with other requests: its retries by the caller, and those that share parts of its
 *     prompt
 * @param deadlineNanos monotonic time, in nanoseconds, at which its response is of no more use
 */
record ForwardedRequest(
        RequestHead head,
        Route route,
        ServiceSpec service,
        RankInService rank,
        int queueRank,
        Optional<OrganisationId> organisation,
        Buffer body,
        Set<Trait> traits,
        long deadlineNanos) {

    ForwardedRequest {
        traits = Set.copyOf(traits);
    }

    /** Returns the time until the deadline; negative after the deadline. */
    Duration remaining(long now) {
        return Duration.ofNanos(deadlineNanos - now);
    }

    String id() {
        return head.id();
    }
}
