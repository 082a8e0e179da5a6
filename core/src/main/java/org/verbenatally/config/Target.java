package org.verbenatally.config;

import java.util.List;
import java.util.Objects;

import org.verbenatally.core.Address;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.ModelName;
import org.verbenatally.core.TargetId;

/**
 * A target as the configuration describes it.
 *
 * @param id its id
 * @param type engine or plain service
 * @param address where it listens
 * @param failureDomain where it runs
 * @param models the models that an engine is to have loaded
 * @param role the role that an engine is to have
 * @param checksFence whether it refuses orders with an old fencing number
 * @param maxConcurrent most requests in flight over all entries
 * @param leaving whether it is to receive no new work
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
     * A model that an engine is to have loaded.
     *
     * @param model its name
     * @param version its version
     * @param adapters adapters on it, in sorted order
     */
    public record LoadedModel(ModelName model, String version, List<String> adapters) {
        /** Copies the adapters in sorted order, so that equal content compares equal. */
        public LoadedModel {
            Objects.requireNonNull(model, "model");
            adapters = adapters.stream().sorted().toList();
        }
    }

    /**
     * Checks the parts and copies the models.
     *
     * @throws IllegalArgumentException if the concurrency is not positive
     */
    public Target {
        Objects.requireNonNull(id, "id");
        models = List.copyOf(models);
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException("target " + id + " must allow at least one request");
        }
    }
}
