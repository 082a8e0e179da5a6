package org.verbenatally.forward.speed;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import org.verbenatally.core.ServiceName;

/** The pooled models of all services that this instance sends to. Thread-safe. */
public final class SpeedModels {
    private final boolean enabled;
    private final Map<ServiceName, ServiceModel> models = new ConcurrentHashMap<>();
    private final BiConsumer<ServiceName, ServiceModel> onNewModel;

    /**
     * Creates models without observations.
     *
     * @param enabled whether speeds are measured and used; otherwise all targets count as equal
     */
    public SpeedModels(boolean enabled) {
        this(enabled, (service, model) -> {});
    }

    /**
     * Creates models without observations.
     *
     * @param onNewModel called with the model of each service when it is first used; must not use the models
     */
    public SpeedModels(boolean enabled, BiConsumer<ServiceName, ServiceModel> onNewModel) {
        this.enabled = enabled;
        this.onNewModel = Objects.requireNonNull(onNewModel, "onNewModel");
    }

    /** Returns whether speeds are measured and used. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Returns the model of a service. */
    public ServiceModel of(ServiceName service) {
        return models.computeIfAbsent(service, s -> {
            ServiceModel model = new ServiceModel();
            onNewModel.accept(s, model);
            return model;
        });
    }
}
