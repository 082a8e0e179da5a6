package org.verbenatally.faults;

import java.util.Map;
import java.util.Set;

/**
 * The options of a cluster.
 *
 * @param deployment name of an example deployment, {@code abay} or {@code aarhus}
 * @param entries number of entry processes
 * @param seed seed of the random choices
 * @param relays whether there is a relay in front of each process, so that links can be cut
 * @param separateTargets ids of targets that each run in a separate process, so that they can be killed
 * @param engineOptions options of all engines, by name
 * @param drainSeconds longest time that a stopping entry waits for its streams, in seconds
 */
record ClusterOptions(
        String deployment,
        int entries,
        long seed,
        boolean relays,
        Set<String> separateTargets,
        Map<String, String> engineOptions,
        int drainSeconds) {

    /** A token about every 20 ms, so that a stream of a few hundred tokens outlasts a fault and still ends soon. */
    private static final Map<String, String> FAST_ENGINES = Map.of("stepBaseMs", "16", "reportLagMs", "200");

    static ClusterOptions of(String deployment, int entries, long seed) {
        return new ClusterOptions(deployment, entries, seed, false, Set.of(), FAST_ENGINES, 60);
    }

    ClusterOptions withRelays() {
        return new ClusterOptions(deployment, entries, seed, true, separateTargets, engineOptions, drainSeconds);
    }

    ClusterOptions withSeparateTargets(String... ids) {
        return new ClusterOptions(deployment, entries, seed, relays, Set.of(ids), engineOptions, drainSeconds);
    }

    ClusterOptions withDrainSeconds(int seconds) {
        return new ClusterOptions(deployment, entries, seed, relays, separateTargets, engineOptions, seconds);
    }
}
