package org.verbenatally.entry.caller;

import java.util.Objects;
import java.util.Optional;

import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Incarnation;
import org.verbenatally.entry.target.EngineClient;
import org.verbenatally.entry.target.TargetFailure;
import org.verbenatally.entry.target.TokenFeed;
import org.verbenatally.policy.FlightEnd;

/** Starts a generation; if the engine's answer is lost, asks for the generation on a new connection. */
final class EngineStarter {
    /** Patient work has priority 0. */
    private static final int URGENT_PRIORITY = 10;

    private final CallerParts parts;
    private final Work work;

    /** What became of a start. */
    sealed interface Result {}

    /** The generation runs and is attached. */
    record Started(TokenFeed feed) implements Result {}

    /**
     * The generation could not be started or reached.
     *
     * @param failure what went wrong last
     * @param end end of the flight
     * @param mayHaveRun whether the engine may have begun it
     */
    record Failed(TargetFailure failure, FlightEnd end, boolean mayHaveRun) implements Result {}

    EngineStarter(CallerParts parts, Work work) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.work = Objects.requireNonNull(work, "work");
    }

    /** Waits for the start; must run in a virtual-thread task. */
    Result start(Target target, GenerationId generation) {
        Optional<Incarnation> before = parts.loads().incarnation(target.id());
        try {
            return new Started(parts.clients().engines().start(target, request(generation)));
        } catch (TargetFailure e) {
            if (e.reason() == TargetFailure.Cause.LEAVING) {
                parts.targetLeaving(target.id());
            }
            boolean lost = e.reason() == TargetFailure.Cause.SILENT || e.reason() == TargetFailure.Cause.BROKEN;
            return lost ? attach(target, generation, before) : failed(e);
        }
    }

    private static Failed failed(TargetFailure e) {
        FlightEnd away = e.reason().unreachable() ? FlightEnd.UNREACHABLE : FlightEnd.FAILED;
        FlightEnd end = e.reason().refused() ? FlightEnd.REFUSED : away;
        return new Failed(e, end, !e.reason().notRun());
    }

    /** The engine may have taken the request although its answer was lost. */
    private Result attach(Target target, GenerationId generation, Optional<Incarnation> before) {
        try {
            return new Started(parts.clients().engines().resume(target, generation, 0));
        } catch (TargetFailure e) {
            boolean crashed =
                    switch (e.reason()) {
                        case CONNECTION_REFUSED -> true;
                        case UNKNOWN_GENERATION -> parts.loads().hasRestarted(target, before);
                        default -> false;
                    };
            // The start may have left, so a refusal of the second request does not prove that nothing ran.
            return new Failed(e, crashed ? FlightEnd.CRASHED : FlightEnd.FAILED, true);
        }
    }

    private EngineClient.Start request(GenerationId generation) {
        Kind kind = work.kind();
        return new EngineClient.Start(
                generation,
                kind.model().orElseThrow(),
                kind.adapter(),
                work.prompt(),
                work.maxTokens(),
                kind.urgency() == Kind.Urgency.URGENT ? URGENT_PRIORITY : 0,
                work.organisation().id());
    }
}
