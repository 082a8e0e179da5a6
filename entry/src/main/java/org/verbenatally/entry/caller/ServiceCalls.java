package org.verbenatally.entry.caller;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import org.jboss.logging.Logger;
import org.verbenatally.config.Deployment;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Organisation;
import org.verbenatally.config.Target;
import org.verbenatally.config.TargetType;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.key.CallResult;
import org.verbenatally.entry.key.CallRunner;
import org.verbenatally.entry.target.ServiceClient;
import org.verbenatally.entry.target.TargetFailure;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.Flight;
import org.verbenatally.policy.FlightEnd;
import org.verbenatally.policy.RetryInput;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.WorkRequest;

/** Attempts on plain services, and the runner of keyed calls. Each call is one task on the given context. */
final class ServiceCalls implements CallRunner {
    private static final Logger LOG = Logger.getLogger(ServiceCalls.class);
    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private final CallerParts parts;
    private final Context context;

    /**
     * A call of a plain service.
     *
     * @param kind kind of work
     * @param organisation whose call it is
     * @param callId the same for all attempts
     * @param body JSON
     * @param deadlineNanos deadline on the monotonic clock
     */
    record Call(Kind kind, Organisation organisation, String callId, Buffer body, long deadlineNanos) {
        Fingerprint fingerprint() {
            return Fingerprint.of(organisation.id(), kind.name(), body.getBytes());
        }
    }

    /**
     * How one attempt ended.
     *
     * @param result result, if it is the last attempt
     * @param end end of the flight
     * @param target target of the attempt; empty if none was found
     * @param sent whether a byte may have left and the target did not refuse
     */
    record Attempt(CallResult result, FlightEnd end, Optional<TargetId> target, boolean sent) {}

    ServiceCalls(CallerParts parts, Context context) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.context = Objects.requireNonNull(context, "context");
    }

    Context context() {
        return context;
    }

    CallerParts parts() {
        return parts;
    }

    @Override
    public CompletableFuture<CallResult> run(CallRunner.Call call) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        context.runOnContext(v -> {
            try {
                result.complete(runOnce(call));
            } catch (Exception e) {
                // Future.await throws checked exceptions undeclared, and the future must complete.
                LOG.errorf(e, "key: request %s failed with an internal error", call.request());
                result.complete(failed(Outcome.UNKNOWN, Step.SEND, "entry", "internal error"));
            }
        });
        return result;
    }

    /** Sends at most once: another target is tried only if nothing has left. */
    private CallResult runOnce(CallRunner.Call call) {
        long pauses = parts.timer().pauseGeneration();
        Optional<Deployment> deployment = parts.config().deployment();
        Kind kind = deployment.map(d -> d.kinds().get(call.kind())).orElse(null);
        Organisation organisation =
                deployment.map(d -> d.organisations().get(call.organisation())).orElse(null);
        if (kind == null || organisation == null || kind.runsOn() != TargetType.SERVICE) {
            return failed(Outcome.NOT_RUN, Step.ADMIT, "entry", "the owner does not know the kind or organisation");
        }
        String callId = Long.toHexString(
                Fingerprint.of(call.organisation(), call.kind(), call.key().getBytes(StandardCharsets.US_ASCII))
                        .high());
        Call work = new Call(kind, organisation, callId, Buffer.buffer(call.body()), call.deadlineNanos());
        BooleanSupplier maySend =
                () -> parts.timer().pauseGeneration() == pauses && parts.timer().nanos() < call.deadlineNanos();
        int attempts = 0;
        while (true) {
            attempts++;
            Attempt attempt = attempt(work, Set.of(), true, maySend);
            if (attempt.sent() || attempt.target().isEmpty() || !maySend.getAsBoolean()) {
                return attempt.result();
            }
            boolean connectFailed = attempt.end() == FlightEnd.FAILED || attempt.end() == FlightEnd.UNREACHABLE;
            Optional<Duration> delay = connectFailed ? decide(work, attempt, attempts) : Optional.empty();
            if (delay.isEmpty()) {
                return attempt.result();
            }
            pause(delay.get());
        }
    }

    Optional<Duration> decide(Call call, Attempt attempt, int attempts) {
        boolean suspect = parts.suspects().check(call.fingerprint()) != SuspectTable.Verdict.CLEAR;
        return parts.dispatcher()
                .retries()
                .decide(new RetryInput(
                        call.kind(),
                        call.organisation().id(),
                        attempt.target().orElseThrow(),
                        attempt.end(),
                        attempts,
                        attempt.sent(),
                        false,
                        suspect,
                        left(call)));
    }

    private Duration left(Call call) {
        return Duration.ofNanos(Math.max(0, call.deadlineNanos() - parts.timer().nanos()));
    }

    /** Makes one attempt; waits and must run in a task of the context. */
    Attempt attempt(Call call, Set<TargetId> exclude, boolean fresh, BooleanSupplier maySend) {
        Flight flight;
        try {
            flight = Future.fromCompletionStage(
                            parts.dispatcher()
                                    .acquire(new WorkRequest(
                                            call.kind(),
                                            call.organisation(),
                                            0,
                                            0,
                                            call.fingerprint(),
                                            call.deadlineNanos(),
                                            exclude)),
                            context)
                    .await();
        } catch (StepException e) {
            CallResult refused = failed(e.outcome(), e.step(), e.peer(), e.getMessage());
            return new Attempt(refused, FlightEnd.REFUSED, Optional.empty(), false);
        }
        Attempt attempt = null;
        try {
            attempt = send(call, flight.target(), fresh, maySend);
            return attempt;
        } finally {
            flight.end(attempt == null ? FlightEnd.FAILED : attempt.end());
        }
    }

    private Attempt send(Call call, TargetId id, boolean fresh, BooleanSupplier maySend) {
        Optional<Target> target = parts.target(id);
        if (target.isEmpty()) {
            return new Attempt(
                    failed(Outcome.NOT_RUN, Step.ROUTE, id.value(), "the target was removed"),
                    FlightEnd.FAILED,
                    Optional.of(id),
                    false);
        }
        Optional<Incarnation> known = parts.loads().incarnation(id);
        boolean[] sent = {false};
        BooleanSupplier gate = () -> {
            sent[0] = maySend.getAsBoolean();
            return sent[0];
        };
        try {
            ServiceClient.Answer answer = parts.clients()
                    .services()
                    .call(target.get(), call.kind().name(), call.callId(), call.body(), fresh, left(call), gate);
            return answered(id, answer);
        } catch (TargetFailure e) {
            boolean broken = sent[0] && e.reason() == TargetFailure.Cause.BROKEN;
            return failed(id, e, sent[0], broken && parts.loads().hasRestarted(target.get(), known));
        }
    }

    private Attempt answered(TargetId id, ServiceClient.Answer answer) {
        int status = answer.status();
        boolean whole = status >= SUCCESS && status < SERVER_ERROR && status != TIMEOUT && status != TOO_MANY_REQUESTS;
        if (whole) {
            CallResult result = CallResult.done(status, answer.body().getBytes(), id.value());
            return new Attempt(result, FlightEnd.DONE, Optional.of(id), true);
        }
        CallResult result = failed(Outcome.UNKNOWN, Step.SEND, id.value(), "the target answered with status " + status);
        return new Attempt(result, FlightEnd.FAILED, Optional.of(id), true);
    }

    private Attempt failed(TargetId id, TargetFailure e, boolean sent, boolean crashed) {
        if (e.reason() == TargetFailure.Cause.LEAVING) {
            parts.targetLeaving(id);
        }
        boolean refused = e.reason().refused();
        boolean mayHaveRun = sent && !refused;
        Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        Step step = sent ? Step.SEND : Step.CONNECT;
        FlightEnd away = e.reason().unreachable() ? FlightEnd.UNREACHABLE : FlightEnd.FAILED;
        return new Attempt(
                failed(outcome, step, id.value(), e.getMessage()),
                refused ? FlightEnd.REFUSED : crashed ? FlightEnd.CRASHED : away,
                Optional.of(id),
                mayHaveRun);
    }

    private void pause(Duration delay) {
        Promise<Void> wait = Promise.promise();
        context.owner().setTimer(Math.max(1, delay.toMillis()), id -> wait.complete());
        wait.future().await();
    }

    private static CallResult failed(Outcome outcome, Step step, String peer, String message) {
        return CallResult.failed(outcome, step, peer, message);
    }
}
