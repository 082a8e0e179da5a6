package org.verbenatally.forward;

import java.util.Optional;

/** Has a request served by another instance. */
@FunctionalInterface
interface Relay {
    /** Passes no request on, for those that another instance has passed on already. */
    Relay NONE = (request, caller) -> Optional.empty();

    /**
     * Passes a request on and its response back.
     *
     * @return the outcome that logs and metrics report, or empty if no other instance has accepted the request
     */
    Optional<String> tryRelay(ForwardedRequest request, CallerExchange caller);
}
