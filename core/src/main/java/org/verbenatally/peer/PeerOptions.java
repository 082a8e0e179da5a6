package org.verbenatally.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.InstanceId;
import org.verbenatally.settings.EntrySettings;
import org.verbenatally.settings.TlsSettings;

/**
 * Options of {@link TcpPeerNetwork}.
 *
 * @param instance id of this instance
 * @param failureDomain failure domain of this instance
 * @param region region of this instance
 * @param deployment name of the deployment; links to instances of another one are refused
 * @param host IP number to listen on
 * @param port port to listen on; 0 selects a free one
 * @param advertised address that peers connect to; empty: the listening address
 * @param seeds addresses of peers to dial first
 * @param platform address of the platform; empty: no platform
 * @param tls key and certificates for mutual TLS; empty: plaintext connections
 * @param seed seed of the random number generators
 * @param timings periods and timeouts
 */
public record PeerOptions(
        InstanceId instance,
        FailureDomain failureDomain,
        String region,
        String deployment,
        String host,
        int port,
        Optional<Address> advertised,
        List<Address> seeds,
        Optional<Address> platform,
        Optional<TlsSettings> tls,
        long seed,
        PeerTimings timings) {

    /** Checks that required components are present and copies the seeds. */
    public PeerOptions {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(deployment, "deployment");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(timings, "timings");
        seeds = List.copyOf(seeds);
    }

    /** Returns the options given by validated settings, with standard timings. */
    public static PeerOptions of(EntrySettings s) {
        return new PeerOptions(
                new InstanceId(s.getInstance()),
                new FailureDomain(s.getFailureDomain()),
                s.getRegion(),
                s.getDeployment(),
                s.getPeers().getHost(),
                s.getPeers().getPort(),
                Optional.ofNullable(s.getPeers().getAdvertised()).map(Address::parse),
                s.getPeers().getSeeds().stream().map(Address::parse).toList(),
                Optional.of(
                        new Address(s.getPlatform().getHost(), s.getPlatform().getPort())),
                Optional.ofNullable(s.getPeers().getTls()),
                s.getSeed() == null ? RandomGenerator.getDefault().nextLong() : s.getSeed(),
                PeerTimings.standard());
    }
}
