package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimedAwait;

/**
 * Ends the runs of one generation that it does not need any more, as it goes on at another engine. An engine may go on
 * with a run whose connection was closed; it is ordered to stop until it confirms that it does not run the generation.
 * All methods must be called on the context of the request.
 */
final class RunStopper {
    private static final Logger LOG = Logger.getLogger(RunStopper.class);
    /** Most engines drop a run within this time after its connection has closed, and need not copy it. */
    private static final Duration CLOSE_DELAY = Duration.ofMillis(50);

    private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(1);
    /** An engine that was not reached for so long is given up. */
    private static final Duration MAX_DURATION = Duration.ofSeconds(10);
    /** The engine stops the run first and responds when the copy is complete. */
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(3);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final Generation generation;
    private final Context context;
    private final EngineOrders orders;
    /** Engines whose runs have not been confirmed to have ended, and the number of orders sent so far. */
    private final Map<TargetId, Integer> stopping = new HashMap<>();

    RunStopper(ForwardComponents components, ForwardedRequest request, Generation generation, Context context) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.context = Objects.requireNonNull(context, "context");
        this.orders = new EngineOrders(components, request.id(), components.client()::connectForStop);
    }

    /**
     * Returns whether a run of the generation at the engine may not have ended yet. An order to stop could end a new
     * run there as well.
     */
    boolean isStopping(TargetState engine) {
        return stopping.containsKey(engine.target().id());
    }

    /**
     * Ends the run of an engine whose connection has been closed. Returns at once.
     *
     * @param other another engine of the service
     */
    void stop(TargetState engine, TargetState other) {
        boolean supported = request.service()
                .engine()
                .filter(ServiceSpec.EngineTraits::supportsCopies)
                .isPresent();
        TargetId id = engine.target().id();
        if (supported && stopping.putIfAbsent(id, 0) == null) {
            context.runOnContext(v -> {
                try {
                    stopUntilConfirmed(engine, other);
                } finally {
                    stopping.remove(id);
                }
            });
        }
    }

    private void stopUntilConfirmed(TargetState engine, TargetState other) {
        long start = components.timer().nanos();
        Duration pause = CLOSE_DELAY;
        Optional<String> failure;
        do {
            TimedAwait.sleep(context.owner(), pause);
            stopping.merge(engine.target().id(), 1, Integer::sum);
            failure = order(engine, chooseDestination(engine).orElse(other), start);
            Duration doubled = pause.multipliedBy(2);
            pause = doubled.compareTo(MAX_RETRY_PAUSE) < 0 ? doubled : MAX_RETRY_PAUSE;
        } while (failure.isPresent()
                && mayOrder(engine)
                && components.timer().nanos() - start < MAX_DURATION.toNanos());
        failure.ifPresent(reason -> {
            components.metrics().countDecision("run not stopped");
            event("run.notStopped", engine, start).with("reason", reason).info(LOG);
        });
    }

    /** Returns whether the engine may still be sent orders; one in an evacuated domain only for a while. */
    private boolean mayOrder(TargetState engine) {
        return components.directory().mayOrderCopy(engine);
    }

    private LogEvent event(String name, TargetState engine, long start) {
        TargetId id = engine.target().id();
        return LogEvent.of(name)
                .request(request.id())
                .with("target", id)
                .with("orders", stopping.get(id))
                .with("ms", Duration.ofNanos(components.timer().nanos() - start).toMillis());
    }

    /** Orders the engine to stop its run; returns why that is not confirmed, or empty if it is. */
    private Optional<String> order(TargetState engine, TargetState destination, long start) {
        if (!mayOrder(engine)) {
            return Optional.of("failure domain is evacuated");
        }
        EngineOrder order = components
                .codec()
                .stopRequest(request.id(), destination.target().address());
        try {
            EngineOrders.Response response = orders.send(order, engine, ORDER_TIMEOUT, () -> mayOrder(engine));
            Optional<String> copy = components.codec().readStopResponse(response.status(), response.body());
            if (copy.isEmpty() && !components.codec().isNotRunning(response.status())) {
                return Optional.of("status " + response.status());
            }
            components.metrics().countDecision(copy.isPresent() ? "run stopped" : "run had ended");
            event("run.stopped", engine, start)
                    .with("status", response.status())
                    .info(LOG);
            copy.ifPresent(id -> release(id, engine));
            return Optional.empty();
        } catch (StepException e) {
            // An engine that refuses connections is gone, and its runs with it.
            return TargetProbe.isRefused(e.getCause()) ? Optional.empty() : Optional.of(e.getMessage());
        }
    }

    /**
     * Chooses the engine that receives a copy of the stopped run, as there is no order to stop without one; empty if
     * none has memory to spare, in which case nothing is copied.
     */
    private Optional<TargetState> chooseDestination(TargetState engine) {
        return components
                .chooser()
                .chooseCopyHolder(request.service(), generation, engine, TargetChooser.FULL_MEMORY_SHARE, Set.of());
    }

    /** Frees the memory of a copy that is not used; without it, engines free it after some seconds. */
    private void release(String copyId, TargetState engine) {
        try {
            orders.send(components.codec().releaseRequest(copyId), engine, ORDER_TIMEOUT, () -> mayOrder(engine));
        } catch (StepException e) {
            LOG.debugf("stop: copy %s is not freed: %s", copyId, e.getMessage());
        }
    }
}
