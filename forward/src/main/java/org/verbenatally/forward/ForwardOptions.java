package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.peer.PeerOptions;

/**
 * What a forwarding instance needs to know of itself.
 *
 * @param callers where callers connect
 * @param readiness where the load balancer asks whether the instance is ready
 * @param readinessPath path that it asks for
 * @param metrics where metrics are served; empty: nowhere
 * @param peers options of the peer network
 * @param grace time between the request to stop and the end of the process
 * @param drain time within which a target that leaves must get no new work
 * @param retryRule bound of repeated sends
 */
public record ForwardOptions(
        Address callers,
        Address readiness,
        String readinessPath,
        Optional<Address> metrics,
        PeerOptions peers,
        Duration grace,
        Duration drain,
        RepeatAllowance.Rule retryRule) {

    /** Checks that the parts are there. */
    public ForwardOptions {
        Objects.requireNonNull(callers, "callers");
        Objects.requireNonNull(readiness, "readiness");
        Objects.requireNonNull(readinessPath, "readinessPath");
        Objects.requireNonNull(metrics, "metrics");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(grace, "grace");
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(retryRule, "retryRule");
    }
}
