package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Books and sends one generation, to its first engine and to those that it goes on at. */
final class StreamSender {
    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final Generation generation;
    private final CallerExchange caller;
    private final Runnable onLeaving;

    /**
     * Creates a sender.
     *
     * @param onLeaving told when an engine that was booked is known to leave
     */
    StreamSender(
            ForwardParts parts, ForwardedRequest r, Generation generation, CallerExchange caller, Runnable onLeaving) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.onLeaving = Objects.requireNonNull(onLeaving, "onLeaving");
    }

    /** Books the generation at an engine, with a standing copy at another one while memory is ample. */
    Flight book(TargetRow row) {
        boolean copied =
                r.service().engine().filter(ServiceSpec.EngineTraits::backups).isPresent() && generation.isLong();
        TargetRow backup = copied
                ? parts.chooser()
                        .copyHolder(r.service(), generation, row, TargetChooser.STANDING_COPIES, Set.of())
                        .orElse(null)
                : null;
        return new Flight(r.id(), r.fingerprint(), row, backup, generation, onLeaving);
    }

    /**
     * Sends the request to the engine that was booked.
     *
     * @param continuation copy to go on from; empty for the first send
     * @param limit longest wait for the head of the answer
     * @throws org.verbenatally.core.StepException as {@link Attempt#start}
     */
    Attempt send(Flight flight, Urgency urgency, Optional<TargetOrder.Continuation> continuation, Duration limit) {
        var order = new TargetOrder(
                flight.row().target().id(),
                r.left(parts.timer().nanos()),
                urgency,
                r.organisation(),
                Optional.ofNullable(flight.backup()).map(b -> b.target().address()),
                continuation);
        return Attempt.start(parts, r, caller, flight.row(), order, limit);
    }
}
