package org.verbenatally.load;

import java.util.List;

/**
 * Parameters of a comparison of policies.
 *
 * @param deployment name of the deployment whose workload is offered
 * @param entries number of entry instances
 * @param loads offered loads as shares of capacity
 * @param lags lags of the load reports, in milliseconds
 * @param seconds time during which requests arrive in one run, in seconds
 * @param seed seed of the arrivals, which is the same for all policies
 * @param policies names of the policy suites
 */
record BenchPlan(
        String deployment,
        int entries,
        List<Double> loads,
        List<Double> lags,
        int seconds,
        long seed,
        List<String> policies) {}
