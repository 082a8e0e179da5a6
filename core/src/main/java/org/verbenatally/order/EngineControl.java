package org.verbenatally.order;

import java.util.concurrent.CompletableFuture;

import org.verbenatally.config.Target;

/**
 * Reads the states of engines and sends them orders. Futures fail with a {@link org.verbenatally.core.StepException}.
 */
public interface EngineControl {

    /** Reads the state that an engine reports. */
    CompletableFuture<EngineState> state(Target engine);

    /** Sends an order; fails if the engine refuses it, for example because its fencing number is too old. */
    CompletableFuture<Void> send(Target engine, EngineOrder order);
}
