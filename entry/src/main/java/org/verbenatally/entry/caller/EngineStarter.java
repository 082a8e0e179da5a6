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
import org.verbenatally.policy.AttemptEnd;

/** Starts a generation; if the engine's response is lost, attaches to the generation on a new connection. */
final class EngineStarter {
    /** Engine priority of urgent work; patient work has priority 0. */
    private static final int URGENT_PRIORITY = 10;

    private final CallerComponents components;
    private final GenerationRequest work;

    /** Result of a start. */
    sealed interface Result {}

    /** The generation is running, and {@code feed} is attached to it. */
    record Started(TokenFeed feed) implements Result {}

    /**
     * The generation could not be started or reached.
     *
     * @param failure the last failure
     * @param end how the attempt ended for its target
     * @param mayHaveRun whether the engine may have started the generation
     */
    record Failed(TargetFailure failure, AttemptEnd end, boolean mayHaveRun) implements Result {}

    EngineStarter(CallerComponents components, GenerationRequest work) {
        this.components = Objects.requireNonNull(components, "components");
        this.work = Objects.requireNonNull(work, "work");
    }

    /** Starts the generation and attaches to it; waits and must run in a virtual-thread task. */
    Result start(Target target, GenerationId generation) {
        Optional<Incarnation> incarnationBefore = components.loads().incarnation(target.id());
        try {
            return new Started(components.clients().engines().start(target, startRequest(generation)));
        } catch (TargetFailure e) {
            if (e.reason() == TargetFailure.Cause.LEAVING) {
                components.markLeaving(target.id());
            }
            boolean responseLost = e.reason() == TargetFailure.Cause.SILENT || e.reason() == TargetFailure.Cause.BROKEN;
            return responseLost ? attach(target, generation, incarnationBefore) : failed(e);
        }
    }

    private static Failed failed(TargetFailure e) {
        AttemptEnd failureEnd = e.reason().isUnreachable() ? AttemptEnd.UNREACHABLE : AttemptEnd.FAILED;
        AttemptEnd end = e.reason().isRefused() ? AttemptEnd.REFUSED : failureEnd;
        return new Failed(e, end, !e.reason().isNotRun());
    }

    /** Attaches to a generation that the engine may have started although its response was lost. */
    private Result attach(Target target, GenerationId generation, Optional<Incarnation> incarnationBefore) {
        try {
            return new Started(components.clients().engines().resume(target, generation, 0));
        } catch (TargetFailure e) {
            boolean crashed =
                    switch (e.reason()) {
                        case CONNECTION_REFUSED -> true;
                        case UNKNOWN_GENERATION -> components.loads().hasRestarted(target, incarnationBefore);
                        default -> false;
                    };
            // The start request may have been sent, so a refused attach does not prove that nothing ran.
            return new Failed(e, crashed ? AttemptEnd.CRASHED : AttemptEnd.FAILED, true);
        }
    }

    private EngineClient.StartRequest startRequest(GenerationId generation) {
        Kind kind = work.kind();
        return new EngineClient.StartRequest(
                generation,
                kind.model().orElseThrow(),
                kind.adapter(),
                work.prompt(),
                work.maxTokens(),
                kind.urgency() == Kind.Urgency.URGENT ? URGENT_PRIORITY : 0,
                work.organisation().id());
    }
}
