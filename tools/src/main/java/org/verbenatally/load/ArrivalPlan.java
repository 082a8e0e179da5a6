package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plans the arrivals of a run as a Poisson process for each organisation, whose rate is raised during bursts. Each
 * organisation has its own random number generator, so a burst of one does not change the arrivals of the others.
 */
final class ArrivalPlan {
    /** Requests of an organisation share a few prompt prefixes, as requests about one document or counter file do. */
    private static final int PREFIXES_PER_ORGANISATION = 8;

    private static final String WORDS = "granite slab edge polish seam sink cutout backsplash finish sealant ";

    private ArrivalPlan() {}

    /** Returns all arrivals in order of time; the same options always give the same plan. */
    static List<Arrival> of(LoadOptions options) {
        List<Arrival> plan = new ArrayList<>();
        for (int i = 0; i < options.callers().size(); i++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed() * 1_000_003 + i);
            addArrivals(options, options.callers().get(i), random, plan);
        }
        plan.sort(Comparator.comparingLong(Arrival::atNanos));
        return plan;
    }

    private static void addArrivals(
            LoadOptions options, Caller caller, UniformRandomProvider random, List<Arrival> plan) {
        boolean canBurst = options.burstOrganisation().isEmpty()
                || options.burstOrganisation().equals(caller.organisation());
        double factor = canBurst ? options.burstFactor() : 1;
        double peakRate = options.baseRate(caller) * factor;
        var gaps = ZigguratSampler.Exponential.of(random, 1 / peakRate);
        int serial = 0;
        for (double second = gaps.sample(); second < options.seconds(); second += gaps.sample()) {
            // Arrivals are generated at the peak rate and thinned outside bursts.
            double uniform = random.nextDouble();
            if (uniform * factor < 1 || options.isBursting(caller.organisation(), second)) {
                KindLoad kind = options.workload().sampleKind(random);
                String work = options.seed() + "." + caller.organisation() + "." + serial++;
                plan.add(new Arrival((long) (second * 1e9), kind, request(options, caller, kind, work, random)));
            }
        }
    }

    private static CallRequest request(
            LoadOptions options, Caller caller, KindLoad kind, String work, UniformRandomProvider random) {
        String organisation = caller.organisation();
        if (!kind.runsOnEngine()) {
            return CallRequest.call(
                    work, kind.kind(), organisation, caller.credential(), kind.repeatable(), kind.deadlineMs());
        }
        int length = options.workload().sampleLength(kind, random);
        String prefix = prefix(
                organisation,
                random.nextInt(PREFIXES_PER_ORGANISATION),
                options.workload().prefixTokens(kind));
        return CallRequest.generation(
                work, kind.kind(), organisation, caller.credential(), prefix, length, kind.stream(), kind.deadlineMs());
    }

    private static String prefix(String organisation, int index, int tokens) {
        String label = organisation + " document " + index + ": ";
        int characters = 4 * tokens;
        return (label + WORDS.repeat(characters / WORDS.length() + 1)).substring(0, Math.max(1, characters));
    }
}
