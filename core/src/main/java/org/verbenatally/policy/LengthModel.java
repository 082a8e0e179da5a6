package org.verbenatally.policy;

import org.verbenatally.config.Kind;
import org.verbenatally.core.OrganisationId;

/** Tells how long outputs grow. */
@FunctionalInterface
public interface LengthModel {

    /**
     * Returns the expected number of tokens that a generation still adds.
     *
     * @param kind the kind of work
     * @param organisation whose work it is
     * @param soFar output tokens so far, not negative
     * @return expected further tokens, between 0 and the kind's longest output less {@code soFar}
     */
    double expectedRemaining(Kind kind, OrganisationId organisation, int soFar);
}
