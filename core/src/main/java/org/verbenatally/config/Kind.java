package org.verbenatally.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.verbenatally.core.KindName;
import org.verbenatally.core.ModelName;

/**
 * A kind of work.
 *
 * @param name name of the kind
 * @param runsOn type of the targets that run it
 * @param model model that runs it; present for kinds that run on engines
 * @param adapter adapter on the model, if any
 * @param urgency whether a caller needs the response immediately
 * @param value cost of a lost or late response
 * @param repeatable whether a second run of a request is harmless
 * @param delivery whether the response is sent token by token or only once it is complete
 * @param deadline default deadline of a request
 * @param maxTokens maximum output length, in tokens
 * @param typicalTokens median output length assumed until outputs have been observed, in tokens
 * @param maxAttempts maximum number of attempts for repeatable work, including the first
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

    /** Whether a caller needs the response immediately. */
    public enum Urgency {
        /** A caller needs the response immediately. */
        URGENT,
        /** The response may take a while. */
        PATIENT
    }

    /** Cost of a lost or late response. */
    public enum Value {
        /** A lost or late response is expensive. */
        HIGH,
        /** A lost or late response is cheap. */
        LOW
    }

    /** How the response is sent to the caller. */
    public enum Delivery {
        /** Token by token. */
        STREAM,
        /** Only once it is complete. */
        WHOLE
    }

    /**
     * Checks that the components are consistent.
     *
     * @throws IllegalArgumentException if a kind that runs on engines has no model, or a limit is not positive
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
