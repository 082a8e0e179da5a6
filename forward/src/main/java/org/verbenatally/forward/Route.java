package org.verbenatally.forward;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.RouteName;
import org.verbenatally.core.ServiceName;

/**
 * Sends the requests of one host and path prefix to services.
 *
 * @param name its name
 * @param host host that requests name
 * @param pathPrefix start of the path; begins and ends with a slash
 * @param retrySafety whether a request may be sent again
 * @param timeout longest time that a caller waits for the end of the response
 * @param objective time to the response, or to its first event, that callers expect
 * @param priority rank of its requests, 0 first
 * @param shares services and their weights; at least one
 * @param maxAttempts maximum number of targets that one request may run on
 * @param allowsAnonymous whether callers need no credential
 * @param eventGapObjective longest pause between events that callers expect; empty if the response is not a series of
 *     events
 */
public record Route(
        RouteName name,
        String host,
        String pathPrefix,
        RetrySafety retrySafety,
        Duration timeout,
        Duration objective,
        int priority,
        List<Share> shares,
        int maxAttempts,
        boolean allowsAnonymous,
        Optional<Duration> eventGapObjective) {

    /**
     * Share of a route's requests that goes to one service.
     *
     * @param service the service
     * @param weight its weight relative to the other shares; not negative
     */
    public record Share(ServiceName service, int weight) {
        /**
         * Checks the components.
         *
         * @throws IllegalArgumentException if the weight is negative
         */
        public Share {
            Objects.requireNonNull(service, "service");
            if (weight < 0) {
                throw new IllegalArgumentException("weight of " + service + " must not be negative");
            }
        }
    }

    /**
     * Checks the components.
     *
     * @throws IllegalArgumentException if the prefix does not begin and end with a slash, there is no share, no attempt
     *     is allowed, or a time or the priority is negative
     */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(retrySafety, "retrySafety");
        Objects.requireNonNull(timeout, "timeout");
        Objects.requireNonNull(objective, "objective");
        shares = List.copyOf(shares);
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("route " + name + ": path prefix must begin and end with a slash");
        }
        if (timeout.isNegative()
                || objective.isNegative()
                || eventGapObjective.filter(Duration::isNegative).isPresent()
                || priority < 0) {
            throw new IllegalArgumentException("route " + name + ": times and priority must not be negative");
        }
        if (shares.isEmpty() || maxAttempts < 1) {
            throw new IllegalArgumentException("route " + name + ": at least one service and one attempt are required");
        }
    }

    /** Returns the service for a request. The same choice gives the same service while the weights stay the same. */
    ServiceName service(int choice) {
        long total = shares.stream().mapToLong(Share::weight).sum();
        if (total <= 0) {
            return shares.getFirst().service();
        }
        long remaining = Math.floorMod((long) choice, total);
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
