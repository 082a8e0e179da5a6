package org.verbenatally.load;

import java.util.List;

import org.verbenatally.core.Address;

/**
 * Options of a load run.
 *
 * @param workload kinds and lengths
 * @param callers organisations
 * @param entries entries that get the load
 * @param engines engines whose reports are read for preemptions; may be empty
 * @param rate mean requests a second over all kinds, outside bursts of one organisation
 * @param seconds length of the arrivals, in seconds
 * @param warmupSeconds requests that arrive earlier are sent but not measured, in seconds
 * @param drainSeconds longest wait for open requests after the last arrival, in seconds
 * @param seed seed of arrivals, kinds, lengths and prompts
 * @param burstFactor factor on the rate during a burst; 1: none
 * @param burstSeconds length of a burst, in seconds
 * @param burstEverySeconds time from one burst to the next, in seconds; the first begins half of it into the run
 * @param burstOrganisation the only organisation that bursts, on top of the mean rate; empty: all burst together and
 *     the mean rate stays
 * @param progress whether a progress line is printed on standard error every 5 s
 */
public record LoadOptions(
        Workload workload,
        List<Caller> callers,
        List<Address> entries,
        List<Address> engines,
        double rate,
        int seconds,
        int warmupSeconds,
        int drainSeconds,
        long seed,
        double burstFactor,
        double burstSeconds,
        double burstEverySeconds,
        String burstOrganisation,
        boolean progress) {

    /**
     * Returns a run of 60 s after 10 s of warm-up, with bursts of all organisations to twice the rate for 4 s every
     * 20 s, that waits up to 60 s for open requests.
     */
    public static LoadOptions of(Workload workload, List<Address> entries, List<Address> engines, double rate) {
        return new LoadOptions(
                workload, Caller.tenWithThreeLarge(), entries, engines, rate, 70, 10, 60, 1, 2, 4, 20, "", false);
    }

    /** Checks ranges. */
    public LoadOptions {
        callers = List.copyOf(callers);
        entries = List.copyOf(entries);
        engines = List.copyOf(engines);
        if (!(rate > 0) || seconds < 1 || warmupSeconds < 0 || warmupSeconds >= seconds || drainSeconds < 0) {
            throw new IllegalArgumentException("rate and seconds must be positive, warm-up shorter than the run");
        }
        if (burstFactor < 1 || !(burstSeconds > 0) || burstEverySeconds < burstSeconds) {
            throw new IllegalArgumentException("burstFactor must be at least 1, bursts must not overlap");
        }
    }

    /** Returns whether the organisation's rate is raised at a time after the start, in seconds. */
    boolean bursts(String organisation, double second) {
        double at = (second + burstEverySeconds / 2) % burstEverySeconds;
        return at < burstSeconds && (burstOrganisation.isEmpty() || burstOrganisation.equals(organisation));
    }

    /** Returns an organisation's rate outside bursts, in requests a second. */
    double baseRate(Caller caller) {
        double sum = callers.stream().mapToDouble(Caller::weight).sum();
        double mean = rate * caller.weight() / sum;
        return burstOrganisation.isEmpty() ? mean / (1 + (burstFactor - 1) * burstSeconds / burstEverySeconds) : mean;
    }
}
