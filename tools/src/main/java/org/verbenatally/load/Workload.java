package org.verbenatally.load;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.verbenatally.standin.EngineOptions;

/**
 * Kinds of work of a deployment and their output lengths.
 *
 * @param deployment name of the deployment
 * @param kinds load models of the kinds; their shares add up to one
 * @param lengthScale factor on all output lengths and prompt prefixes, for short experiments
 */
public record Workload(String deployment, List<KindLoad> kinds, double lengthScale) {
    private static final double TAIL_EXPONENT = 1.2;
    private static final int TAIL_START_MEDIANS = 4;
    private static final int CAPACITY_SAMPLES = 50_000;
    private static final long DEADLINE_MS = 1_800_000;

    /** Checks that the shares add up to 1 and that {@code lengthScale} is positive. */
    public Workload {
        kinds = List.copyOf(kinds);
        if (Math.abs(kinds.stream().mapToDouble(KindLoad::share).sum() - 1) > 1e-6 || !(lengthScale > 0)) {
            throw new IllegalArgumentException("shares must add up to 1 and lengthScale must be positive");
        }
    }

    /**
     * Returns the workload of a deployment.
     *
     * @param deployment {@code abay} or {@code aarhus}
     * @param lengthScale factor on output lengths and prompt prefixes
     */
    public static Workload of(String deployment, double lengthScale) {
        List<KindLoad> kinds =
                switch (deployment) {
                    case "abay" ->
                        List.of(
                                new KindLoad("guide", 0.4, true, true, true, 512, 400, 1.0, 0.03, 30_000, DEADLINE_MS),
                                KindLoad.service("quote-check", 0.4, true),
                                KindLoad.service("order-booking", 0.2, false));
                    case "aarhus" ->
                        List.of(
                                new KindLoad(
                                        "speech-draft",
                                        0.2,
                                        true,
                                        true,
                                        true,
                                        768,
                                        500,
                                        1.0,
                                        0.03,
                                        30_000,
                                        DEADLINE_MS),
                                new KindLoad(
                                        "briefing-summary",
                                        0.2,
                                        true,
                                        false,
                                        true,
                                        1_024,
                                        200,
                                        0.7,
                                        0.01,
                                        4_000,
                                        600_000),
                                new KindLoad(
                                        "draft-lookup", 0.45, true, true, true, 256, 24, 0.8, 0.01, 1_000, 120_000),
                                KindLoad.service("approval-signoff", 0.15, false));
                    default -> throw new IllegalArgumentException("deployment must be abay or aarhus: " + deployment);
                };
        return new Workload(deployment, kinds, lengthScale);
    }

    /** Selects a kind at random, in proportion to the shares. */
    KindLoad sampleKind(UniformRandomProvider random) {
        double remaining = random.nextDouble();
        for (KindLoad kind : kinds) {
            remaining -= kind.share();
            if (remaining < 0) {
                return kind;
            }
        }
        return kinds.getLast();
    }

    /** Samples an output length, in tokens; 0 for kinds that run on services. */
    int sampleLength(KindLoad kind, UniformRandomProvider random) {
        if (!kind.runsOnEngine()) {
            return 0;
        }
        double length;
        if (random.nextDouble() < kind.tailShare()) {
            length = InverseTransformParetoSampler.of(random, TAIL_START_MEDIANS * kind.medianLength(), TAIL_EXPONENT)
                    .sample();
        } else {
            length = LogNormalSampler.of(
                            ZigguratSampler.NormalizedGaussian.of(random), Math.log(kind.medianLength()), kind.sigma())
                    .sample();
        }
        return (int) Math.clamp(Math.round(Math.min(length, kind.maxLength()) * lengthScale), 1, kind.maxLength());
    }

    int prefixTokens(KindLoad kind) {
        return (int) Math.ceil(kind.prefixTokens() * lengthScale);
    }

    /**
     * Returns the request rate over all kinds that just saturates the engines, in requests a second.
     *
     * <p>A running sequence holds its prompt and, on average, half of its output in memory. Weighted by running time,
     * this is {@code resident = sum(length * (prompt + length / 2)) / sum(length)} tokens a sequence. An engine runs
     * {@code min(maxBatch, kvTokens / resident)} sequences at a time. The lengths are sampled with seed 1.
     */
    public double capacity(EngineOptions engine, int engineCount) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1L);
        double totalLength = 0;
        double totalPrompt = 0;
        double weightedResident = 0;
        for (int i = 0; i < CAPACITY_SAMPLES; i++) {
            KindLoad kind = sampleKind(random);
            double length = sampleLength(kind, random);
            double prompt = kind.runsOnEngine() ? prefixTokens(kind) : 0;
            totalLength += length;
            totalPrompt += prompt;
            weightedResident += length * (prompt + length / 2);
        }
        double batch = Math.min(engine.maxBatch(), engine.kvTokens() * totalLength / weightedResident);
        double stepMs = engine.stepBaseMs()
                + batch * (engine.stepPerSequenceMs() + engine.prefillPerTokenMs() * totalPrompt / totalLength);
        return engineCount * batch * 1_000 / stepMs / (totalLength / CAPACITY_SAMPLES);
    }
}
