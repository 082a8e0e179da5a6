package org.verbenatally.load;

/**
 * Load of one kind of work. Output lengths are log-normal with the given median and sigma; a share of them is drawn
 * from a Pareto distribution (exponent 1.2, from four medians on) instead, which gives the heavy tail. Lengths are cut
 * at {@code longest}.
 *
 * @param kind name of the kind
 * @param share part of all requests
 * @param engine whether it runs on engines; otherwise there are no lengths
 * @param stream whether the answer comes token by token
 * @param repeatable whether a second run does no harm
 * @param prefixTokens tokens of the start of the prompt, which several requests of an organisation share
 * @param median median output length, in tokens
 * @param sigma standard deviation of the logarithm of the length
 * @param tailShare share of lengths that come from the tail
 * @param longest longest output, in tokens
 * @param deadlineMs deadline of a request, in milliseconds
 */
public record KindLoad(
        String kind,
        double share,
        boolean engine,
        boolean stream,
        boolean repeatable,
        int prefixTokens,
        int median,
        double sigma,
        double tailShare,
        int longest,
        long deadlineMs) {

    /** Returns the load of a kind of a plain service. */
    static KindLoad service(String kind, double share, boolean repeatable) {
        return new KindLoad(kind, share, false, false, repeatable, 0, 0, 0, 0, 0, 10_000);
    }
}
