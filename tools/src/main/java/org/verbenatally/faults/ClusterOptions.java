package org.verbenatally.faults;

import java.util.Map;
import java.util.Set;

/**
 * What a cluster consists of.
 *
 * @param deployment name of an example deployment, {@code abay} or {@code aarhus}
 * @param entries number of entry processes
 * @param seed seed of the random choices
 * @param links whether relays stand in front of all processes, so that links can be cut
 * @param apart ids of targets that run in a process of their own, so that they can be killed
 * @param engine options of all engines, by name
 * @param drainSeconds longest time that a stopping entry waits for its streams
 */
record ClusterOptions(
        String deployment,
        int entries,
        long seed,
        boolean links,
        Set<String> apart,
        Map<String, String> engine,
        int drainSeconds) {

    /** Tokens every 20 ms or so, so that a stream of a few hundred tokens spans a fault and still ends soon. */
    private static final Map<String, String> QUICK = Map.of("stepBaseMs", "16", "reportLagMs", "200");

    static ClusterOptions of(String deployment, int entries, long seed) {
        return new ClusterOptions(deployment, entries, seed, false, Set.of(), QUICK, 60);
    }

    ClusterOptions withLinks() {
        return new ClusterOptions(deployment, entries, seed, true, apart, engine, drainSeconds);
    }

    ClusterOptions withApart(String... ids) {
        return new ClusterOptions(deployment, entries, seed, links, Set.of(ids), engine, drainSeconds);
    }

    ClusterOptions withDrainSeconds(int seconds) {
        return new ClusterOptions(deployment, entries, seed, links, apart, engine, seconds);
    }
}
