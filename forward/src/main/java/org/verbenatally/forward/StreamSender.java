package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Reserves engines for one generation and sends it to them: to its first engine and to those that continue it. */
final class StreamSender {
    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final Generation generation;
    private final CallerExchange caller;
    private final Runnable onLeaving;

    /**
     * Creates a sender.
     *
     * @param onLeaving called when a reserved engine is known to leave
     */
    StreamSender(
            ForwardComponents components,
            ForwardedRequest request,
            Generation generation,
            CallerExchange caller,
            Runnable onLeaving) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.onLeaving = Objects.requireNonNull(onLeaving, "onLeaving");
    }

    /** Reserves an engine for the generation, and another one for its backup while memory is ample. */
    InFlightRequest reserve(TargetState state) {
        boolean keepsBackup = request.service()
                        .engine()
                        .filter(ServiceSpec.EngineTraits::supportsBackups)
                        .isPresent()
                && generation.isLong();
        TargetState backup = keepsBackup
                ? components
                        .chooser()
                        .chooseCopyHolder(
                                request.service(), generation, state, TargetChooser.BACKUP_MEMORY_SHARE, Set.of())
                        .orElse(null)
                : null;
        return new InFlightRequest(request.id(), request.traits(), state, backup, generation, onLeaving);
    }

    /**
     * Sends the request to the reserved engine.
     *
     * @param continuation copy to continue from; empty for the first send
     * @param limit longest wait for the head of the response
     * @param onSent receives the action that cancels the exchange, as soon as the request is being sent
     * @throws org.verbenatally.core.StepException as {@link Attempt#start}
     */
    Attempt send(
            InFlightRequest inFlight,
            AdmissionRank rank,
            Optional<ForwardingMetadata.Continuation> continuation,
            Duration limit,
            Consumer<Runnable> onSent) {
        var metadata = new ForwardingMetadata(
                inFlight.targetState().target().id(),
                request.remaining(components.timer().nanos()),
                rank,
                request.organisation(),
                Optional.ofNullable(inFlight.backup()).map(b -> b.target().address()),
                continuation);
        return Attempt.start(
                components, request, caller, inFlight.targetState(), metadata, ResponseTimeout.of(limit), onSent);
    }
}
