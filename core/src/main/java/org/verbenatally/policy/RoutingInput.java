package org.verbenatally.policy;

import java.util.List;

import org.verbenatally.config.Kind;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.OrganisationId;

/**
 * Input of a routing decision.
 *
 * @param kind the kind of work
 * @param organisation the organisation that the work belongs to
 * @param promptTokens estimated length of the prompt, in tokens
 * @param expectedTokens expected length of the output, in tokens
 * @param failureDomain the failure domain in which this entry runs
 * @param candidates targets that may run the work: they are not leaving and have the model loaded
 */
public record RoutingInput(
        Kind kind,
        OrganisationId organisation,
        int promptTokens,
        double expectedTokens,
        FailureDomain failureDomain,
        List<TargetSnapshot> candidates) {

    /** Copies the candidates. */
    public RoutingInput {
        candidates = List.copyOf(candidates);
    }
}
