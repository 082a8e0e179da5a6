package org.verbenatally.load;

/**
 * Load model of one kind of work. Output lengths follow a log-normal distribution with the given median and sigma. A
 * share of them is sampled from a Pareto distribution instead (exponent 1.2, minimum four medians), which gives a heavy
 * tail. Lengths are capped at {@code maxLength}.
 *
 * @param kind name of the kind
 * @param share share of all requests, from 0 to 1
 * @param runsOnEngine whether it runs on engines; kinds that run on services have no output lengths
 * @param stream whether the response is streamed token by token
 * @param repeatable whether the work may safely run more than once
 * @param prefixTokens length of the prompt prefix that requests of an organisation share, in tokens
 * @param medianLength median output length, in tokens
 * @param sigma standard deviation of the logarithm of the output length
 * @param tailShare share of the output lengths that are sampled from the Pareto distribution
 * @param maxLength maximum output length, in tokens
 * @param deadlineMs deadline of a request, in milliseconds
 */
public record KindLoad(
        String kind,
        double share,
        boolean runsOnEngine,
        boolean stream,
        boolean repeatable,
        int prefixTokens,
        int medianLength,
        double sigma,
        double tailShare,
        int maxLength,
        long deadlineMs) {

    /** Returns the load model of a kind that runs on a service. */
    static KindLoad service(String kind, double share, boolean repeatable) {
        return new KindLoad(kind, share, false, false, repeatable, 0, 0, 0, 0, 0, 10_000);
    }
}
