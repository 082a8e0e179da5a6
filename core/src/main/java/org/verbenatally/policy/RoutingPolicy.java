package org.verbenatally.policy;

import java.util.Optional;

import org.verbenatally.core.TargetId;

/** Chooses the target for a request. */
@FunctionalInterface
public interface RoutingPolicy {

    /** Returns the target, or empty if the request should wait because no candidate has capacity. */
    Optional<TargetId> choose(RoutingInput input);
}
