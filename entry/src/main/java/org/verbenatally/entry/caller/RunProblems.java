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

    static Problem generationLost(TargetId target, String detail, boolean hasDelivered, long deliveredTokens) {
        Step step = hasDelivered ? Step.STREAM : Step.FIRST_TOKEN;
        return new Problem(
                        BAD_GATEWAY,
                        "generation-lost",
                        detail,
                        Outcome.UNKNOWN,
                        step,
                        target.value(),
                        Optional.empty(),
                        new JsonObject())
                .withMember("delivered", hasDelivered ? deliveredTokens : 0);
    }

    /** Returns the problem of a run that was stopped; empty if its caller has disconnected or resumes elsewhere. */
    static Optional<Problem> stopped(EngineRun.StopReason reason, boolean mayHaveRun) {
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

    /** Like {@link #stopped}, for a queued run: it has no stream yet that its caller could resume elsewhere. */
    static Optional<Problem> stoppedWhileQueued(EngineRun.StopReason reason, boolean mayHaveRun) {
        return reason == EngineRun.StopReason.RECONNECT
                ? Optional.of(stopping(Step.ADMIT, mayHaveRun))
                : stopped(reason, mayHaveRun);
    }

    /** Returns the problem of a run that this entry stops and whose caller knows no stream to resume elsewhere. */
    static Problem stopping(Step step, boolean mayHaveRun) {
        Problem problem = Problem.refused(UNAVAILABLE, "stopping", step, "this entry is stopping")
                .withRetryAfter(RETRY_AFTER);
        return mayHaveRun ? problem.withOutcome(Outcome.UNKNOWN) : problem;
    }
}
