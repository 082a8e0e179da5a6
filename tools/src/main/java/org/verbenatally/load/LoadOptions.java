package org.verbenatally.load;

import java.util.List;

import org.verbenatally.core.Address;

/**
 * Options of a load run.
 *
 * @param workload kinds of work and their output lengths
 * @param callers organisations that send the load
 * @param entryAddresses addresses of the entries that receive the load
 * @param engineAddresses addresses of the engines whose load reports are read to count preemptions; may be empty
 * @param rate mean request rate over all kinds, in requests a second, excluding the additional requests of bursts of a
 *     single organisation
 * @param seconds time during which requests arrive, in seconds
 * @param warmupSeconds initial time, in seconds; requests that arrive during it are sent but not measured
 * @param drainSeconds maximum wait for open requests once arrivals have ended, in seconds
 * @param seed seed of arrivals, kinds, lengths and prompts
 * @param burstFactor factor on the rate during a burst; 1 for no bursts
 * @param burstSeconds length of a burst, in seconds
 * @param burstEverySeconds time from the start of one burst to the start of the next, in seconds; the first burst
 *     starts after half of this time
 * @param burstOrganisation the only organisation that has bursts, in addition to the mean rate; if empty, all
 *     organisations have bursts at the same time and the mean rate over the run includes them
 * @param progress whether a progress line is printed on standard error every 5 s
 */
public record LoadOptions(
        Workload workload,
        List<Caller> callers,
        List<Address> entryAddresses,
        List<Address> engineAddresses,
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
     * Returns the options of a run of 60 s after 10 s of warm-up, with bursts of all organisations to twice the rate
     * for 4 s every 20 s, and a wait of up to 60 s for open requests.
     */
    public static LoadOptions of(
            Workload workload, List<Address> entryAddresses, List<Address> engineAddresses, double rate) {
        return new LoadOptions(
                workload,
                Caller.tenWithThreeLarge(),
                entryAddresses,
                engineAddresses,
                rate,
                70,
                10,
                60,
                1,
                2,
                4,
                20,
                "",
                false);
    }

    /** Checks that the values are in range. */
    public LoadOptions {
        callers = List.copyOf(callers);
        entryAddresses = List.copyOf(entryAddresses);
        engineAddresses = List.copyOf(engineAddresses);
        if (!(rate > 0) || seconds < 1 || warmupSeconds < 0 || warmupSeconds >= seconds || drainSeconds < 0) {
            throw new IllegalArgumentException("rate and seconds must be positive, and warm-up shorter than the run");
        }
        if (burstFactor < 1 || !(burstSeconds > 0) || burstEverySeconds < burstSeconds) {
            throw new IllegalArgumentException("burstFactor must be at least 1 and bursts must not overlap");
        }
    }

    /** Returns whether the organisation's rate is raised at a time, given in seconds after the start of the run. */
    boolean isBursting(String organisation, double second) {
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
