package org.verbenatally.order;

import java.util.concurrent.CompletableFuture;

import org.verbenatally.config.Target;

/** Access to the engines' reports and orders. Futures fail with a {@link org.verbenatally.core.StepException}. */
public interface EngineControl {

    /** Reads the state that an engine reports. */
    CompletableFuture<EngineState> state(Target engine);

    /** Sends an order; fails if the engine refuses it, for example because of an old fencing number. */
    CompletableFuture<Void> send(Target engine, EngineOrder order);
}
