package org.verbenatally.policy;

import java.util.LinkedHashMap;
import java.util.Map;

import org.verbenatally.config.Kind;
import org.verbenatally.core.KindName;
import org.verbenatally.core.OrganisationId;

/**
 * Learns output lengths from finished generations by kind and by kind and organisation. An organisation without
 * observations is treated like its kind, a kind without observations by its configured typical length. Safe for use by
 * several threads.
 */
public final class HistogramLengthModel implements LengthModel {
    /** Bound of the memory: 2,048 histograms of some 250 bytes; the one least recently used goes first. */
    private static final int MAX_ORGANISATIONS = 2048;
    /** Weight of the configured typical length, in observations. */
    private static final float PRIOR_WEIGHT = 8;
    /** Weight of the kind's observations in the estimate for an organisation, in observations. */
    private static final double KIND_WEIGHT = 16;
    /** Without an observation above the present length, a generation is expected to grow by this share of it. */
    private static final double TAIL_GROWTH = 0.5;
    /** Multiples of the typical length that stand for a long-tailed prior, equally likely. */
    private static final double[] PRIOR = {0.2, 0.45, 0.7, 0.9, 1.1, 1.5, 2.3, 4};

    private record Key(KindName kind, OrganisationId organisation) {}

    private final Map<KindName, LengthHistogram> kinds = new LinkedHashMap<>();
    private final Map<Key, LengthHistogram> organisations = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, LengthHistogram> eldest) {
            return size() > MAX_ORGANISATIONS;
        }
    };

    /** Takes the length of a generation that finished. */
    public synchronized void finished(Kind kind, OrganisationId organisation, int tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens must not be negative: " + tokens);
        }
        int length = Math.min(tokens, kind.maxTokens());
        kindHistogram(kind).add(length, 1);
        organisations
                .computeIfAbsent(new Key(kind.name(), organisation), key -> new LengthHistogram())
                .add(length, 1);
    }

    @Override
    public synchronized double expectedRemaining(Kind kind, OrganisationId organisation, int soFar) {
        int bound = kind.maxTokens() - soFar;
        if (bound <= 0) {
            return 0;
        }
        LengthHistogram common = kindHistogram(kind);
        LengthHistogram own = organisations.get(new Key(kind.name(), organisation));
        double scale = KIND_WEIGHT / common.total();
        double weight = common.weightAbove(soFar) * scale;
        double excess = common.excessAbove(soFar) * scale;
        if (own != null) {
            weight += own.weightAbove(soFar);
            excess += own.excessAbove(soFar);
        }
        // Less than a hundredth of an observation is rounding, not evidence.
        double expected = weight < 0.01 ? TAIL_GROWTH * soFar : excess / weight;
        return Math.clamp(expected, 1, bound);
    }

    private LengthHistogram kindHistogram(Kind kind) {
        return kinds.computeIfAbsent(kind.name(), name -> {
            LengthHistogram histogram = new LengthHistogram();
            for (double multiple : PRIOR) {
                int length = (int) Math.min(kind.maxTokens(), Math.max(1, multiple * kind.typicalTokens()));
                histogram.add(length, PRIOR_WEIGHT / PRIOR.length);
            }
            return histogram;
        });
    }
}
