package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.Address;
import org.verbenatally.forward.cold.ColdMargin;
import org.verbenatally.peer.PeerOptions;

/**
 * Options of a forwarding instance.
 *
 * @param callerAddress address that callers connect to
 * @param readinessAddress address at which the load balancer asks whether the instance is ready
 * @param readinessPath path of that check
 * @param metricsAddress address at which metrics are served; empty if they are not served
 * @param peers options of the peer network
 * @param idleTimeout time after which a caller's connection that carries no request is closed
 * @param grace time between the request to stop and the end of the process
 * @param drain time within which a leaving target must get no new work
 * @param retryRule limit of retries
 * @param evacuationBound time after which an evacuated failure domain must get no requests; empty if evacuations are
 *     not followed
 * @param coldMargin how far the limits of cold targets may be exceeded; empty if cold targets are not limited
 * @param relayPort port at which the instances accept requests that others of them pass on, the same for all instances;
 *     empty if they pass none on
 * @param equalSpeeds whether all targets count as equally fast, and speeds are not measured
 */
public record ForwardOptions(
        Address callerAddress,
        Address readinessAddress,
        String readinessPath,
        Optional<Address> metricsAddress,
        PeerOptions peers,
        Duration idleTimeout,
        Duration grace,
        Duration drain,
        RetryAllowance.Rule retryRule,
        Optional<Duration> evacuationBound,
        Optional<ColdMargin> coldMargin,
        Optional<Integer> relayPort,
        boolean equalSpeeds) {

    /** Checks that no component is {@code null}. */
    public ForwardOptions {
        Objects.requireNonNull(callerAddress, "callerAddress");
        Objects.requireNonNull(readinessAddress, "readinessAddress");
        Objects.requireNonNull(readinessPath, "readinessPath");
        Objects.requireNonNull(metricsAddress, "metricsAddress");
        Objects.requireNonNull(peers, "peers");
        Objects.requireNonNull(idleTimeout, "idleTimeout");
        Objects.requireNonNull(grace, "grace");
        Objects.requireNonNull(drain, "drain");
        Objects.requireNonNull(retryRule, "retryRule");
        Objects.requireNonNull(evacuationBound, "evacuationBound");
        Objects.requireNonNull(coldMargin, "coldMargin");
        Objects.requireNonNull(relayPort, "relayPort");
    }

    /** Returns the same options, but with all targets counted as equally fast. */
    public ForwardOptions withEqualSpeeds() {
        return new ForwardOptions(
                callerAddress,
                readinessAddress,
                readinessPath,
                metricsAddress,
                peers,
                idleTimeout,
                grace,
                drain,
                retryRule,
                evacuationBound,
                coldMargin,
                relayPort,
                true);
    }
}
