package org.verbenatally.policy;

import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenatally.config.Kind;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Learns output lengths from completed generations, for each kind and for each organisation within a kind. An
 * organisation without observations is treated like its kind, and a kind without observations by its configured typical
 * length. Safe for use by several threads.
 */
public final class HistogramLengthModel implements LengthModel {
    /** Bounds the memory: 2,048 histograms of about 250 bytes each; the least recently used one is removed first. */
    private static final int MAX_ORGANISATION_HISTOGRAMS = 2048;
    /** Weight of the configured typical length, in observations. */
    private static final float PRIOR_WEIGHT = 8;
    /** Weight of the kind's observations in the estimate for an organisation, in observations. */
    private static final double KIND_WEIGHT = 16;
    /** Without an observation above the current length, a generation is expected to grow by this share of it. */
    private static final double TAIL_GROWTH = 0.5;
    /** Equally likely multiples of the typical length, which form a long-tailed prior. */
    private static final double[] PRIOR_MULTIPLES = {0.2, 0.45, 0.7, 0.9, 1.1, 1.5, 2.3, 4};

    private record Key(KindName kind, OrganisationId organisation) {}

    private final Map<KindName, LengthHistogram> byKind = new LinkedHashMap<>();
    private final Map<Key, LengthHistogram> byOrganisation = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, LengthHistogram> eldest) {
            return size() > MAX_ORGANISATION_HISTOGRAMS;
        }
    };

    /** Records the output length of a completed generation, in tokens. */
    public synchronized void observe(Kind kind, OrganisationId organisation, int tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens must not be negative: " + tokens);
        }
        int length = Math.min(tokens, kind.maxTokens());
        kindHistogram(kind).add(length, 1);
        byOrganisation
                .computeIfAbsent(new Key(kind.name(), organisation), key -> new LengthHistogram())
                .add(length, 1);
    }

    @Override
    public synchronized double expectedRemaining(Kind kind, OrganisationId organisation, int generatedTokens) {
        int maxRemaining = kind.maxTokens() - generatedTokens;
        if (maxRemaining <= 0) {
            return 0;
        }
        LengthHistogram kindHistogram = kindHistogram(kind);
        LengthHistogram organisationHistogram = byOrganisation.get(new Key(kind.name(), organisation));
        double scale = KIND_WEIGHT / kindHistogram.totalWeight();
        double weight = kindHistogram.weightAbove(generatedTokens) * scale;
        double excess = kindHistogram.excessAbove(generatedTokens) * scale;
        if (organisationHistogram != null) {
            weight += organisationHistogram.weightAbove(generatedTokens);
            excess += organisationHistogram.excessAbove(generatedTokens);
        }
        // A weight below a hundredth of an observation is rounding error, not evidence.
        double expected = weight < 0.01 ? TAIL_GROWTH * generatedTokens : excess / weight;
        return Math.clamp(expected, 1, maxRemaining);
    }

    private LengthHistogram kindHistogram(Kind kind) {
        return byKind.computeIfAbsent(kind.name(), name -> {
            LengthHistogram histogram = new LengthHistogram();
            for (double multiple : PRIOR_MULTIPLES) {
                int length = (int) Math.min(kind.maxTokens(), Math.max(1, multiple * kind.typicalTokens()));
                histogram.add(length, PRIOR_WEIGHT / PRIOR_MULTIPLES.length);
            }
            return histogram;
        });
    }
}
