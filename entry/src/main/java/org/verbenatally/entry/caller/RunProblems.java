package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;

/** The problem documents of engine requests. */
final class RunProblems {
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private RunProblems() {}

    static Problem quarantined() {
        return Problem.refused(UNPROCESSABLE, "crashes-targets", Step.ADMIT, "the request crashes targets");
    }

    static Problem notRun(TargetId target, String detail) {
        return Problem.of(new StepException(Step.CONNECT, target.value(), Outcome.NOT_RUN, detail, null, RETRY_AFTER));
    }

    static Problem generationLost(TargetId target, String detail, boolean anyDelivered, long delivered) {
        Step step = anyDelivered ? Step.STREAM : Step.FIRST_TOKEN;
        return new Problem(
                        BAD_GATEWAY,
                        "generation-lost",
                        detail,
                        Outcome.UNKNOWN,
                        step,
                        target.value(),
                        Optional.empty(),
                        new JsonObject())
                .with("delivered", anyDelivered ? delivered : 0);
    }

    /** Returns the problem of a run that was stopped; empty if its caller is not there or resumes. */
    static Optional<Problem> stopped(EngineRun.Stop reason, boolean mayHaveRun) {
        Step step = mayHaveRun ? Step.STREAM : Step.ADMIT;
        Optional<Problem> problem =
                switch (reason) {
                    case DEADLINE ->
                        Optional.of(Problem.refused(GATEWAY_TIMEOUT, "deadline", step, "the deadline has passed"));
                    case CANCELLED ->
                        Optional.of(Problem.refused(CONFLICT, "cancelled", step, "the caller cancelled the stream"));
                    case ABANDONED, SUPERSEDED, RECONNECT -> Optional.empty();
                };
        return problem.map(p -> mayHaveRun ? p.withOutcome(Outcome.UNKNOWN) : p);
    }

    /** As {@link #stopped}, for a run that has no stream to which its caller could return. */
    static Optional<Problem> stoppedWhileWaiting(EngineRun.Stop reason, boolean mayHaveRun) {
        if (reason != EngineRun.Stop.RECONNECT) {
            return stopped(reason, mayHaveRun);
        }
        Problem stopping = Problem.refused(UNAVAILABLE, "stopping", Step.ADMIT, "this entry stops")
                .withRetryAfter(RETRY_AFTER);
        return Optional.of(mayHaveRun ? stopping.withOutcome(Outcome.UNKNOWN) : stopping);
    }
}
