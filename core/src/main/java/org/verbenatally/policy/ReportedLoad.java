package org.verbenatally.policy;

import java.util.Objects;
import java.util.Set;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.ModelName;

/**
 * A load report as received from a target. The values are not trusted: the target table checks them, and wrong values
 * affect only the traffic of that target.
 *
 * @param incarnation the target's incarnation
 * @param atMs when the target created the report, in milliseconds since the epoch on its own clock
 * @param running requests in its batch
 * @param waiting requests that wait at the target
 * @param kvUsedTokens tokens held in key-value memory; 0 for plain services
 * @param kvCapacityTokens tokens that key-value memory can hold; 0 for plain services
 * @param preemptions preemptions since the target started
 * @param models loaded models; empty for plain services
 * @param leaving whether the target must get no new work
 */
public record ReportedLoad(
        Incarnation incarnation,
        long atMs,
        int running,
        int waiting,
        long kvUsedTokens,
        long kvCapacityTokens,
        long preemptions,
        Set<ModelName> models,
        boolean leaving) {

    /** Copies the models. */
    public ReportedLoad {
        Objects.requireNonNull(incarnation, "incarnation");
        models = Set.copyOf(models);
    }
}
