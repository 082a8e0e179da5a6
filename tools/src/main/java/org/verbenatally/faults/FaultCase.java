package org.verbenatally.faults;

import java.util.function.LongFunction;

/**
 * One case of the fault table.
 *
 * @param name short name
 * @param options returns the options of the cluster for a given seed
 * @param body the steps of the case; it returns after every request has ended
 */
record FaultCase(String name, LongFunction<ClusterOptions> options, Body body) {

    /** The steps of a case: they send requests and inject faults. */
    @FunctionalInterface
    interface Body {
        /**
         * Runs the case.
         *
         * @throws RuntimeException if a condition is not met in time; the case then counts as broken
         */
        void run(Trial trial);
    }

    /** Returns a case on the abay deployment with three entries. */
    static FaultCase abay(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed), body);
    }

    /** Returns a case on the abay deployment with three entries and a relay in front of each process. */
    static FaultCase abayWithRelays(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed).withRelays(), body);
    }

    /** Returns a case on the abay deployment with three entries; the given targets run in separate processes. */
    static FaultCase abayWithSeparateTargets(String name, Body body, String... targets) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed).withSeparateTargets(targets), body);
    }

    /** Returns a case on the aarhus deployment with three entries. */
    static FaultCase aarhus(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("aarhus", 3, seed), body);
    }
}
