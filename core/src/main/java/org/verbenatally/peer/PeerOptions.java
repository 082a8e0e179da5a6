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
 * What {@link Peers} needs to know of its own process.
 *
 * @param instance id of this instance
 * @param failureDomain failure domain it is in
 * @param region region it is in
 * @param deployment name of the deployment; links to instances of another one are refused
 * @param host IP number to listen on
 * @param port port to listen on; 0 takes a free one
 * @param advertised address that peers connect to; empty: the one listened on
 * @param seeds addresses to try first
 * @param platform the platform's address; empty: no platform
 * @param tls key and certificates for mutual TLS; empty: plain text
 * @param seed seed of the random choices
 * @param timings periods and bounds
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

    /** Copies the seeds. */
    public PeerOptions {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(failureDomain, "failureDomain");
        Objects.requireNonNull(region, "region");
        Objects.requireNonNull(deployment, "deployment");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(timings, "timings");
        seeds = List.copyOf(seeds);
    }

    /** Returns the options that checked settings describe, with standard timings. */
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
