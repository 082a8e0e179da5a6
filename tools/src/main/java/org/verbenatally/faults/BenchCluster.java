package org.verbenatally.faults;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Address;

/** A cluster of processes for measurements. It exposes what the load tool needs and injects no faults. */
public final class BenchCluster implements AutoCloseable {
    private final Cluster cluster;

    private BenchCluster(Cluster cluster) {
        this.cluster = cluster;
    }

    /**
     * Starts a cluster and waits until it is ready.
     *
     * @param deployment name of an example deployment
     * @param entries number of entry processes
     * @param seed seed of the entries and stand-ins
     * @param engineOptions options of all engines, by name
     * @param properties system properties of the entry and stand-in processes
     */
    public static BenchCluster start(
            String deployment,
            int entries,
            long seed,
            Map<String, String> engineOptions,
            Map<String, String> properties) {
        ChildProcess.setSystemProperties(properties);
        return new BenchCluster(
                Cluster.start(new ClusterOptions(deployment, entries, seed, false, Set.of(), engineOptions, 5)));
    }

    /** Returns the deployment in force. */
    public Deployment deployment() {
        return cluster.deployment();
    }

    /** Returns the addresses at which the entries listen for callers. */
    public List<Address> entryAddresses() {
        List<Address> addresses = new ArrayList<>();
        for (int i = 0; i < cluster.size(); i++) {
            addresses.add(cluster.callerAddress(i));
        }
        return addresses;
    }

    /** Returns the addresses at which the engines listen. */
    public List<Address> engineAddresses() {
        return deployment().targets().values().stream()
                .filter(target -> target.type() == TargetType.ENGINE)
                .map(target -> cluster.standins().address(target.id().value()))
                .toList();
    }

    @Override
    public void close() {
        cluster.close();
    }
}
