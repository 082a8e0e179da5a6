package org.verbenatally.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plans the arrivals of a run: a Poisson process for each organisation, whose rate is raised during bursts. Each
 * organisation has random numbers of its own, so a burst of one leaves the arrivals of the others as they are.
 */
final class ArrivalPlan {
    /** Several requests of an organisation share a prompt prefix, as documents or counter files do. */
    private static final int PREFIXES = 8;

    private static final String WORDS = "granite slab edge polish seam sink cutout backsplash finish sealant ";

    private ArrivalPlan() {}

    /** Returns all arrivals in order of time; the same options give the same plan. */
    static List<Arrival> of(LoadOptions options) {
        List<Arrival> plan = new ArrayList<>();
        for (int i = 0; i < options.callers().size(); i++) {
            UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(options.seed() * 1_000_003 + i);
            plan(options, options.callers().get(i), random, plan);
        }
        plan.sort(Comparator.comparingLong(Arrival::atNanos));
        return plan;
    }

    private static void plan(LoadOptions options, Caller caller, UniformRandomProvider random, List<Arrival> plan) {
        boolean canBurst = options.burstOrganisation().isEmpty()
                || options.burstOrganisation().equals(caller.organisation());
        double factor = canBurst ? options.burstFactor() : 1;
        double peak = options.baseRate(caller) * factor;
        var gaps = ZigguratSampler.Exponential.of(random, 1 / peak);
        int serial = 0;
        for (double at = gaps.sample(); at < options.seconds(); at += gaps.sample()) {
            double accept = random.nextDouble();
            if (accept * factor < 1 || options.bursts(caller.organisation(), at)) {
                KindLoad kind = options.workload().kind(random);
                String work = options.seed() + "." + caller.organisation() + "." + serial++;
                plan.add(new Arrival((long) (at * 1e9), kind, request(options, caller, kind, work, random)));
            }
        }
    }

    private static CallRequest request(
            LoadOptions options, Caller caller, KindLoad kind, String work, UniformRandomProvider random) {
        String organisation = caller.organisation();
        if (!kind.engine()) {
            return CallRequest.call(
                    work, kind.kind(), organisation, caller.credential(), kind.repeatable(), kind.deadlineMs());
        }
        int length = options.workload().length(kind, random);
        String prefix = prefix(
                organisation, random.nextInt(PREFIXES), options.workload().prefixTokens(kind));
        return CallRequest.generation(
                work, kind.kind(), organisation, caller.credential(), prefix, length, kind.stream(), kind.deadlineMs());
    }

    private static String prefix(String organisation, int number, int tokens) {
        String head = organisation + " document " + number + ": ";
        int characters = 4 * tokens;
        return (head + WORDS.repeat(characters / WORDS.length() + 1)).substring(0, Math.max(1, characters));
    }
}
