package org.verbenatally.load;

import java.util.List;

/**
 * What a comparison of policies runs.
 *
 * @param deployment whose workload is offered
 * @param entries entry instances
 * @param loads offered loads as shares of capacity
 * @param lags lags of the load reports, in milliseconds
 * @param seconds length of the arrivals of one run, in seconds
 * @param seed seed of the arrivals; the same for all policies
 * @param policies names of the suites
 */
record BenchPlan(
        String deployment,
        int entries,
        List<Double> loads,
        List<Double> lags,
        int seconds,
        long seed,
        List<String> policies) {}
