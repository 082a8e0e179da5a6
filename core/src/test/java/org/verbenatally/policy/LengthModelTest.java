package org.verbenatally.policy;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.verbenatally.config.Kind;
import org.verbenatally.core.OrganisationId;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LengthModelTest {
    private static final OrganisationId ORG = new OrganisationId("tana");
    private static final Kind KIND = Fixtures.engineKind("guide", Kind.Urgency.PATIENT);

    /** Guards against a prediction that is negative or longer than the kind allows. */
    @Property(seed = "12", tries = 200)
    void predictionStaysWithinTheKindsBounds(
            @ForAll @Size(max = 100) List<@IntRange(min = 0, max = 20_000) Integer> lengths,
            @ForAll @IntRange(min = 0, max = 20_000) int generatedTokens) {
        HistogramLengthModel model = new HistogramLengthModel();
        lengths.forEach(length -> model.observe(KIND, ORG, length));
        double expected = model.expectedRemaining(KIND, ORG, generatedTokens);
        assertThat(expected).isBetween(0.0, (double) Math.max(0, KIND.maxTokens() - generatedTokens));
    }

    /** Guards against a model that does not expect long generations to grow further. */
    @Test
    void longGenerationsAreExpectedToGrowFurther() {
        HistogramLengthModel model = new HistogramLengthModel();
        for (int i = 0; i < 500; i++) {
            model.observe(KIND, ORG, i % 10 == 0 ? 8_000 : 100);
        }
        assertThat(model.expectedRemaining(KIND, ORG, 0)).isCloseTo(890, within(250.0));
        assertThat(model.expectedRemaining(KIND, ORG, 1_000)).isGreaterThan(5_000);
    }

    /** Guards against the lengths of one organisation determining the prediction for another. */
    @Test
    void organisationsArePredictedSeparately() {
        HistogramLengthModel model = new HistogramLengthModel();
        OrganisationId other = new OrganisationId("gibe");
        for (int i = 0; i < 300; i++) {
            model.observe(KIND, ORG, 50);
            model.observe(KIND, other, 2_000);
        }
        assertThat(model.expectedRemaining(KIND, ORG, 0)).isLessThan(model.expectedRemaining(KIND, other, 0) / 4);
    }
}
