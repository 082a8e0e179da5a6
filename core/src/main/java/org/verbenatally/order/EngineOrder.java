package org.verbenatally.order;

import java.util.Optional;

import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.ModelName;

/**
 * An order to an engine. It names what is to be, not a step from what is, so a repeated order does no harm.
 *
 * @param fence fencing number: the configuration version that asks for it
 * @param model the model to have loaded; empty: only the role matters
 * @param adapter the adapter to have loaded on it, if any
 * @param version the model's version; present with a model
 * @param role the role to have
 */
public record EngineOrder(
        ConfigVersion fence,
        Optional<ModelName> model,
        Optional<String> adapter,
        Optional<String> version,
        String role) {

    /** Returns whether the engine reads from the weight store to follow it. */
    public boolean loadsWeights() {
        return model.isPresent();
    }
}
