package org.verbenatally.order;

import java.util.Optional;

import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.ModelName;

/**
 * An order to an engine. It states the desired state rather than a change to the current one, so a repeated order has
 * no effect.
 *
 * @param fence fencing number: the version of the configuration that requires the order
 * @param model the model to be loaded; if empty, the order is only about the role
 * @param adapter the adapter to be loaded on the model, if any
 * @param version the model's version; present if the model is
 * @param role the role that the engine must have
 */
public record EngineOrder(
        ConfigVersion fence,
        Optional<ModelName> model,
        Optional<String> adapter,
        Optional<String> version,
        String role) {

    /** Returns whether the engine reads from the weight store to carry out the order. */
    public boolean loadsWeights() {
        return model.isPresent();
    }
}
