package org.verbenatally.config;

import java.util.List;
import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.TargetId;

/**
 * Configuration of a target.
 *
 * @param id id of the target
 * @param type whether it is an engine or a plain service
 * @param address address on which it listens
 * @param failureDomain failure domain in which it runs
 * @param models models that an engine is expected to have loaded
 * @param role role that an engine is expected to have
 * @param checksFence whether it rejects orders with an outdated fencing number
 * @param maxConcurrent maximum number of requests in flight across all entries
 * @param leaving whether it must receive no new work
 */
public record Target(
        TargetId id,
        TargetType type,
        Address address,
        FailureDomain failureDomain,
        List<LoadedModel> models,
        String role,
        boolean checksFence,
        int maxConcurrent,
        boolean leaving) {

    /**
     * A model that an engine is expected to have loaded.
     *
     * @param model name of the model
     * @param version version of the model
     * @param adapters adapters on the model, in sorted order
     */
    public record LoadedModel(ModelName model, String version, List<String> adapters) {
        /** Copies the adapters in sorted order, so that records with equal content are equal. */
        public LoadedModel {
            Objects.requireNonNull(model, "model");
            adapters = adapters.stream().sorted().toList();
        }
    }

    /**
     * Checks the components and copies the models.
     *
     * @throws IllegalArgumentException if {@code maxConcurrent} is not positive
     */
    public Target {
        Objects.requireNonNull(id, "id");
        models = List.copyOf(models);
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException("target " + id + " must allow at least one request");
        }
    }
}
