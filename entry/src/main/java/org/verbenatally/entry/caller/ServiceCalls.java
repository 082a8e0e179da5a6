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
import org.verbenatally.entry.key.KeyedCallRunner;
import org.verbenatally.entry.target.ServiceClient;
import org.verbenatally.entry.target.TargetFailure;
import org.verbenatally.policy.AttemptEnd;
import org.verbenatally.policy.Fingerprint;
import org.verbenatally.policy.InFlightRequest;
import org.verbenatally.policy.RetryInput;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.WorkRequest;

/**
 * Sends calls to plain services, and runs calls with an idempotency key for their owner. Each keyed call is one task on
 * the given context.
 */
final class ServiceCalls implements KeyedCallRunner {
    private static final Logger LOG = Logger.getLogger(ServiceCalls.class);
    private static final int SERVER_ERROR = 500;
    private static final int SUCCESS = 200;
    private static final int TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;

    private final CallerComponents components;
    private final Context context;

    /**
     * A call of a plain service.
     *
     * @param kind kind of work
     * @param organisation whose call it is
     * @param callId id of the call, the same for all attempts
     * @param body the request body, JSON
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
     * @param result result of the call if no further attempt follows
     * @param end how the attempt ended for its target
     * @param target target of the attempt; empty if none was found
     * @param mayHaveRun whether a byte may have been sent and the target did not refuse the call
     */
    record Attempt(CallResult result, AttemptEnd end, Optional<TargetId> target, boolean mayHaveRun) {}

    ServiceCalls(CallerComponents components, Context context) {
        this.components = Objects.requireNonNull(components, "components");
        this.context = Objects.requireNonNull(context, "context");
    }

    Context context() {
        return context;
    }

    CallerComponents components() {
        return components;
    }

    @Override
    public CompletableFuture<CallResult> run(KeyedCallRunner.KeyedCall call) {
        CompletableFuture<CallResult> result = new CompletableFuture<>();
        context.runOnContext(v -> {
            try {
                result.complete(runOnce(call));
            } catch (Throwable e) {
                // Future.await throws checked exceptions without declaring them, and the result must always complete.
                LOG.errorf(e, "key: request %s failed with an internal error", call.request());
                result.complete(failedResult(Outcome.UNKNOWN, Step.SEND, "entry", "internal error"));
            }
        });
        return result;
    }

    /** Sends the call at most once: it is tried again only if no byte has been sent. */
    private CallResult runOnce(KeyedCallRunner.KeyedCall call) {
        long pauseGeneration = components.timer().pauseGeneration();
        Optional<Deployment> deployment = components.config().deployment();
        Kind kind = deployment.map(d -> d.kinds().get(call.kind())).orElse(null);
        Organisation organisation =
                deployment.map(d -> d.organisations().get(call.organisation())).orElse(null);
        if (kind == null || organisation == null || kind.runsOn() != TargetType.SERVICE) {
            return failedResult(
                    Outcome.NOT_RUN, Step.ADMIT, "entry", "the owner does not know the kind or organisation");
        }
        String callId = Long.toHexString(
                Fingerprint.of(call.organisation(), call.kind(), call.key().getBytes(StandardCharsets.US_ASCII))
                        .high());
        Call serviceCall = new Call(kind, organisation, callId, Buffer.buffer(call.body()), call.deadlineNanos());
        BooleanSupplier maySend = () -> components.timer().pauseGeneration() == pauseGeneration
                && components.timer().nanos() < call.deadlineNanos();
        int attempts = 0;
        while (true) {
            attempts++;
            Attempt attempt = runAttempt(serviceCall, Set.of(), true, maySend);
            if (attempt.mayHaveRun() || attempt.target().isEmpty() || !maySend.getAsBoolean()) {
                return attempt.result();
            }
            boolean connectFailed = attempt.end() == AttemptEnd.FAILED || attempt.end() == AttemptEnd.UNREACHABLE;
            Optional<Duration> delay = connectFailed ? retryDelay(serviceCall, attempt, attempts) : Optional.empty();
            if (delay.isEmpty()) {
                return attempt.result();
            }
            pause(delay.get());
        }
    }

    /** Returns the delay before the next attempt; empty if the call must not be retried. */
    Optional<Duration> retryDelay(Call call, Attempt attempt, int attempts) {
        boolean suspect = components.suspects().verdict(call.fingerprint()) != SuspectTable.Verdict.CLEAR;
        return components
                .dispatcher()
                .retryPolicy()
                .decide(new RetryInput(
                        call.kind(),
                        call.organisation().id(),
                        attempt.target().orElseThrow(),
                        attempt.end(),
                        attempts,
                        attempt.mayHaveRun(),
                        false,
                        suspect,
                        remaining(call)));
    }

    private Duration remaining(Call call) {
        return Duration.ofNanos(
                Math.max(0, call.deadlineNanos() - components.timer().nanos()));
    }

    /**
     * Makes one attempt on a target that the dispatcher chooses; waits and must run in a task of the context.
     *
     * @param exclude targets that must not be chosen
     * @param newConnection whether a new connection must be opened
     * @param maySend queried once a connection exists, immediately before the first byte is sent
     */
    Attempt runAttempt(Call call, Set<TargetId> exclude, boolean newConnection, BooleanSupplier maySend) {
        InFlightRequest inFlight;
        try {
            inFlight = Future.fromCompletionStage(
                            components
                                    .dispatcher()
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
            CallResult refused = failedResult(e.outcome(), e.step(), e.peer(), e.getMessage());
            return new Attempt(refused, AttemptEnd.REFUSED, Optional.empty(), false);
        }
        Attempt attempt = null;
        try {
            attempt = send(call, inFlight.target(), newConnection, maySend);
            return attempt;
        } finally {
            inFlight.end(attempt == null ? AttemptEnd.FAILED : attempt.end());
        }
    }

    private Attempt send(Call call, TargetId id, boolean newConnection, BooleanSupplier maySend) {
        Optional<Target> target = components.target(id);
        if (target.isEmpty()) {
            return new Attempt(
                    failedResult(Outcome.NOT_RUN, Step.ROUTE, id.value(), "the target was removed"),
                    AttemptEnd.FAILED,
                    Optional.of(id),
                    false);
        }
        Optional<Incarnation> incarnationBefore = components.loads().incarnation(id);
        boolean[] sent = {false};
        BooleanSupplier sendCheck = () -> {
            sent[0] = maySend.getAsBoolean();
            return sent[0];
        };
        try {
            ServiceClient.Response response = components
                    .clients()
                    .services()
                    .call(
                            target.get(),
                            call.kind().name(),
                            call.callId(),
                            call.body(),
                            newConnection,
                            remaining(call),
                            sendCheck);
            return toAttempt(id, response);
        } catch (TargetFailure e) {
            boolean connectionBroken = sent[0] && e.reason() == TargetFailure.Cause.BROKEN;
            return failedAttempt(
                    id,
                    e,
                    sent[0],
                    connectionBroken && components.loads().hasRestarted(target.get(), incarnationBefore));
        }
    }

    private Attempt toAttempt(TargetId id, ServiceClient.Response response) {
        int status = response.status();
        boolean conclusive =
                status >= SUCCESS && status < SERVER_ERROR && status != TIMEOUT && status != TOO_MANY_REQUESTS;
        if (conclusive) {
            CallResult result = CallResult.completed(status, response.body().getBytes(), id.value());
            return new Attempt(result, AttemptEnd.DONE, Optional.of(id), true);
        }
        CallResult result =
                failedResult(Outcome.UNKNOWN, Step.SEND, id.value(), "the target answered with status " + status);
        return new Attempt(result, AttemptEnd.FAILED, Optional.of(id), true);
    }

    private Attempt failedAttempt(TargetId id, TargetFailure e, boolean sent, boolean crashed) {
        if (e.reason() == TargetFailure.Cause.LEAVING) {
            components.markLeaving(id);
        }
        boolean refused = e.reason().isRefused();
        boolean mayHaveRun = sent && !refused;
        Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        Step step = sent ? Step.SEND : Step.CONNECT;
        AttemptEnd failureEnd = e.reason().isUnreachable() ? AttemptEnd.UNREACHABLE : AttemptEnd.FAILED;
        return new Attempt(
                failedResult(outcome, step, id.value(), e.getMessage()),
                refused ? AttemptEnd.REFUSED : crashed ? AttemptEnd.CRASHED : failureEnd,
                Optional.of(id),
                mayHaveRun);
    }

    private void pause(Duration delay) {
        Promise<Void> wait = Promise.promise();
        context.owner().setTimer(Math.max(1, delay.toMillis()), id -> wait.complete());
        wait.future().await();
    }

    private static CallResult failedResult(Outcome outcome, Step step, String peer, String message) {
        return CallResult.failed(outcome, step, peer, message);
    }
}
