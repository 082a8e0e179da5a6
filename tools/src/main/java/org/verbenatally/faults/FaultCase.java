package org.verbenatally.faults;

import java.util.function.LongFunction;

/**
 * One case of the fault table.
 *
 * @param name short name
 * @param options what it runs on, by seed
 * @param body what happens; ends with all requests answered
 */
record FaultCase(String name, LongFunction<ClusterOptions> options, Body body) {

    /** Sends work and injects faults. */
    @FunctionalInterface
    interface Body {
        /**
         * Runs the case.
         *
         * @throws RuntimeException if a condition is not reached in time; the case then counts as broken
         */
        void run(Trial trial);
    }

    /** Returns a case on the abay deployment with three entries. */
    static FaultCase abay(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed), body);
    }

    /** Returns a case on the abay deployment with three entries and relays in front of all processes. */
    static FaultCase abayLinks(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed).withLinks(), body);
    }

    /** Returns a case on the abay deployment in which some targets have processes of their own. */
    static FaultCase abayApart(String name, Body body, String... targets) {
        return new FaultCase(name, seed -> ClusterOptions.of("abay", 3, seed).withApart(targets), body);
    }

    /** Returns a case on the aarhus deployment with three entries. */
    static FaultCase aarhus(String name, Body body) {
        return new FaultCase(name, seed -> ClusterOptions.of("aarhus", 3, seed), body);
    }
}
