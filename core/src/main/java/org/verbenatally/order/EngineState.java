package org.verbenatally.order;

import java.util.List;
import java.util.Objects;

import org.verbenatally.config.Target.LoadedModel;

/**
 * What an engine reports of itself.
 *
 * @param incarnation its run
 * @param role its role
 * @param models the models it has loaded
 * @param leaving whether it is about to stop
 */
public record EngineState(String incarnation, String role, List<LoadedModel> models, boolean leaving) {
    /** Copies the models. */
    public EngineState {
        Objects.requireNonNull(role, "role");
        models = List.copyOf(models);
    }
}
