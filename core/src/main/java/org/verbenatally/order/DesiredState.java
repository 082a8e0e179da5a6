package org.verbenatally.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.verbenatally.config.Deployment;
import org.verbenatally.config.Target;
import org.verbenatally.config.Target.LoadedModel;
import org.verbenatally.core.ConfigVersion;

/**
 * Computes the state that a configuration requires of its engines. The computation is pure, so all issuers with the
 * same configuration version agree.
 */
public final class DesiredState {
    private DesiredState() {}

    /** Returns the orders that describe the desired state of an engine, in a fixed order. */
    public static List<EngineOrder> orders(Deployment deployment, Target engine) {
        ConfigVersion fence = deployment.version();
        List<EngineOrder> orders = new ArrayList<>();
        orders.add(new EngineOrder(fence, Optional.empty(), Optional.empty(), Optional.empty(), engine.role()));
        for (LoadedModel m : engine.models()) {
            Optional<String> version = Optional.of(m.version());
            orders.add(new EngineOrder(fence, Optional.of(m.model()), Optional.empty(), version, engine.role()));
            for (String adapter : m.adapters()) {
                orders.add(
                        new EngineOrder(fence, Optional.of(m.model()), Optional.of(adapter), version, engine.role()));
            }
        }
        return orders;
    }

    /** Returns the orders that the reported state does not meet. */
    public static List<EngineOrder> unmet(Deployment deployment, Target engine, EngineState reported) {
        return orders(deployment, engine).stream()
                .filter(o -> !isMet(o, reported))
                .toList();
    }

    private static boolean isMet(EngineOrder order, EngineState reported) {
        if (order.model().isEmpty()) {
            return reported.role().equals(order.role());
        }
        return reported.models().stream()
                .anyMatch(m -> m.model().equals(order.model().get())
                        && m.version().equals(order.version().orElseThrow())
                        && order.adapter().map(m.adapters()::contains).orElse(true));
    }
}
