package org.verbenatally.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.KindName;
import org.verbenatally.core.ModelName;

/**
 * A kind of work.
 *
 * @param name its name
 * @param runsOn the type of target that runs it
 * @param model the model that runs it; present for engine kinds
 * @param adapter the adapter on the model, if any
 * @param urgency whether a caller waits for it at once
 * @param value how much a lost or late one costs
 * @param repeatable whether a second run does no harm
 * @param delivery token by token, or held back until whole
 * @param deadline default deadline of a request
 * @param maxTokens longest output, in tokens
 * @param typicalTokens median output length to assume before any was seen, in tokens
 * @param maxAttempts most attempts for repeatable work, the first included
 */
public record Kind(
        KindName name,
        TargetType runsOn,
        Optional<ModelName> model,
        Optional<String> adapter,
        Urgency urgency,
        Value value,
        boolean repeatable,
        Delivery delivery,
        Duration deadline,
        int maxTokens,
        int typicalTokens,
        int maxAttempts) {

    /** Whether a caller waits for the answer at once. */
    public enum Urgency {
        /** A caller waits for the answer at once. */
        URGENT,
        /** The answer may take a while. */
        PATIENT
    }

    /** How much a lost or late answer costs. */
    public enum Value {
        /** A loss costs much. */
        HIGH,
        /** A loss costs little. */
        LOW
    }

    /** How the answer reaches the caller. */
    public enum Delivery {
        /** Token by token. */
        STREAM,
        /** Held back until it is complete. */
        WHOLE
    }

    /**
     * Checks that the parts agree.
     *
     * @throws IllegalArgumentException if an engine kind has no model or a number is not positive
     */
    public Kind {
        Objects.requireNonNull(name, "name");
        if (runsOn == TargetType.ENGINE && model.isEmpty()) {
            throw new IllegalArgumentException("kind " + name + " runs on engines and must name a model");
        }
        if (maxTokens < 1 || typicalTokens < 1 || maxAttempts < 1 || !deadline.isPositive()) {
            throw new IllegalArgumentException("kind " + name + " must have positive limits");
        }
    }
}
