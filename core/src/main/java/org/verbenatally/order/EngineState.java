package org.verbenatally.order;

import java.util.List;
import java.util.Objects;

import org.verbenatally.config.Target.LoadedModel;

/**
 * The state that an engine reports.
 *
 * @param incarnation the engine's incarnation
 * @param role the engine's role
 * @param models the models that the engine has loaded
 * @param leaving whether the engine is about to stop
 */
public record EngineState(String incarnation, String role, List<LoadedModel> models, boolean leaving) {
    /** Copies the models. */
    public EngineState {
        Objects.requireNonNull(role, "role");
        models = List.copyOf(models);
    }
}
