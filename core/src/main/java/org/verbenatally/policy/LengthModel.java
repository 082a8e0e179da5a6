package org.verbenatally.policy;

import org.verbenatally.config.Kind;
import org.verbenatally.core.OrganisationId;

/** Predicts the output lengths of generations. */
@FunctionalInterface
public interface LengthModel {

    /**
     * Returns the expected number of tokens that a generation will still add.
     *
     * @param kind the kind of work
     * @param organisation the organisation that the work belongs to
     * @param generatedTokens output tokens generated so far, not negative
     * @return expected further tokens, between 0 and the kind's longest output less {@code generatedTokens}
     */
    double expectedRemaining(Kind kind, OrganisationId organisation, int generatedTokens);
}
