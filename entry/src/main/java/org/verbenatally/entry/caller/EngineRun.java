package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.verbenatally.config.Target;
import org.verbenatally.core.GenerationId;
import org.verbenatally.core.Incarnation;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.ServiceResult;
import org.verbenatally.entry.target.EngineStream;
import org.verbenatally.entry.target.TokenFeed;
import org.verbenatally.policy.AttemptEnd;
import org.verbenatally.policy.InFlightRequest;
import org.verbenatally.policy.RetryInput;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.WorkRequest;

/**
 * Runs one engine request from admission to the last token: one or more attempts, each with its own generation. Only
 * the last attempt may deliver tokens. One virtual-thread task runs it; {@link #stop} may be called from any thread.
 */
final class EngineRun {
    /** Time within which a caller that lost its connection may resume at any entry before the run is abandoned. */
    private static final Duration RESUME_TIMEOUT = Duration.ofSeconds(10);
    /** Time within which a caller must first read a stream whose address was returned with status 202. */
    private static final Duration FIRST_READ_TIMEOUT = Duration.ofSeconds(25);

    /** Time after which the response head of a stream is sent even without a token, so that keep-alives can follow. */
    private static final Duration EARLY_HEAD_DELAY = Duration.ofSeconds(1);

    private final CallerComponents components;
    private final Exchange exchange;
    private final CallerResponse response;
    private final GenerationRequest request;
    private final Vertx vertx;
    private final Context context;
    private final TokenLatency tokenLatency;
    private StopReason stopReason;
    private EngineStream stream;
    private CompletableFuture<InFlightRequest> acquisition;
    private boolean mayHaveRun;
    private long deadlineTimer = -1;
    private long earlyHeadTimer = -1;

    /** Why a run ends before its generation does. */
    enum StopReason {
        /** The caller disconnected and did not resume. */
        ABANDONED,
        /** The caller cancelled the stream. */
        CANCELLED,
        /** The deadline passed. */
        DEADLINE,
        /** The caller now reads the generation on another connection. */
        SUPERSEDED,
        /** This entry is stopping; a caller that knows the stream should resume at another entry. */
        RECONNECT
    }

    /**
     * How one attempt ended.
     *
     * @param end how it counts for the target
     * @param problem what failed; empty if the response needs no problem document
     * @param mayHaveRun whether the engine may have started the generation
     * @param last whether no further attempt may follow
     */
    private record Attempt(AttemptEnd end, Optional<Problem> problem, boolean mayHaveRun, boolean last) {
        static Attempt done() {
            return new Attempt(AttemptEnd.DONE, Optional.empty(), true, true);
        }

        static Attempt stopped() {
            return new Attempt(AttemptEnd.CANCELLED, Optional.empty(), true, true);
        }
    }

    EngineRun(
            CallerComponents components,
            Vertx vertx,
            Exchange exchange,
            CallerResponse response,
            GenerationRequest request) {
        this.components = Objects.requireNonNull(components, "components");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.context = vertx.getOrCreateContext();
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.response = Objects.requireNonNull(response, "response");
        this.request = Objects.requireNonNull(request, "request");
        EntryMetrics.TokenMeters meters =
                components.metrics().tokenMeters(request.kind().name());
        this.tokenLatency = new TokenLatency(
                meters, request.startNanos(), components.config().deployment());
    }

    /** Runs the request until the response is complete or has failed. */
    void run() {
        execute(this::runAttempts);
    }

    /** Delivers the rest of a generation, from offset {@code from}, over a new attachment to it. */
    void resume(Target target, GenerationId generation, TokenFeed feed, long from) {
        execute(() -> {
            EngineStream opened = open(target, generation, feed, from);
            response.onStarted(generation, streamToken(target.id(), generation));
            Attempt attempt = deliver(opened, Optional.empty());
            attempt.problem().ifPresent(this::fail);
        });
    }

    /** Runs the delivery. If it throws an exception, ends the response before the exception is passed on. */
    private void execute(Runnable delivery) {
        try {
            try {
                begin();
                delivery.run();
            } finally {
                finish();
            }
        } catch (Throwable e) {
            // Future.await throws checked exceptions without declaring them.
            endResponse(e);
            throw e;
        }
    }

    private void endResponse(Throwable cause) {
        if (exchange.response().ended()) {
            return;
        }
        try {
            response.fail(CallerHandler.internalError());
        } catch (RuntimeException | Error e) {
            cause.addSuppressed(e);
        }
    }

    private void begin() {
        components.runs().add(this);
        long remainingNanos = request.deadlineNanos() - components.timer().nanos();
        deadlineTimer = vertx.setTimer(Math.max(1, remainingNanos / 1_000_000), id -> stop(StopReason.DEADLINE));
        earlyHeadTimer = vertx.setTimer(EARLY_HEAD_DELAY.toMillis(), id -> sendEarlyHead());
        response.onDisconnect(() -> context.runOnContext(v -> onCallerDisconnect()));
    }

    private void finish() {
        vertx.cancelTimer(deadlineTimer);
        vertx.cancelTimer(earlyHeadTimer);
        components.runs().remove(this);
        if (stream != null) {
            stream.close();
            components.runs().detach(stream.generation(), this);
        }
    }

    private void onCallerDisconnect() {
        exchange.addTraceStep("the caller disconnected");
        if (response.isResumable()) {
            vertx.setTimer(RESUME_TIMEOUT.toMillis(), id -> stop(StopReason.ABANDONED));
        } else {
            stop(StopReason.ABANDONED);
        }
    }

    /** Ends the run. Only the first call has an effect. */
    void stop(StopReason reason) {
        EngineStream openStream;
        CompletableFuture<InFlightRequest> pending;
        synchronized (this) {
            if (stopReason != null) {
                return;
            }
            stopReason = reason;
            openStream = stream;
            pending = acquisition;
        }
        if (pending != null) {
            pending.cancel(false);
        }
        if (openStream != null) {
            openStream.close();
        }
    }

    private synchronized Optional<StopReason> stopReason() {
        return Optional.ofNullable(stopReason);
    }

    private void runAttempts() {
        Set<TargetId> exclude = new HashSet<>();
        int attempts = 0;
        while (true) {
            attempts++;
            Optional<InFlightRequest> inFlight = acquire(exclude);
            if (inFlight.isEmpty()) {
                return;
            }
            TargetId target = inFlight.get().target();
            exchange.addTraceStep("attempt " + attempts + " on " + target);
            Attempt attempt = null;
            try {
                attempt = runAttempt(inFlight.get());
            } finally {
                inFlight.get().end(attempt == null ? AttemptEnd.CANCELLED : attempt.end());
            }
            if (attempt.problem().isEmpty()) {
                return;
            }
            Optional<Duration> delay = attempt.last() || stopReason().isPresent()
                    ? Optional.empty()
                    : components.dispatcher().retryPolicy().decide(retryInput(target, attempt, attempts));
            if (delay.isEmpty()) {
                fail(attempt.problem().get());
                return;
            }
            exchange.addTraceStep("retry: " + attempt.problem().get().detail());
            components.metrics().countRetry(request.kind().name());
            pause(delay.get());
            exclude.add(target);
            if (exclude.size() >= components.targetCount(request.kind())) {
                exclude.clear();
            }
        }
    }

    private RetryInput retryInput(TargetId target, Attempt attempt, int attempts) {
        boolean suspect = components.suspects().verdict(request.fingerprint()) != SuspectTable.Verdict.CLEAR;
        return new RetryInput(
                request.kind(),
                request.organisation().id(),
                target,
                attempt.end(),
                attempts,
                attempt.mayHaveRun(),
                response.hasDelivered(),
                suspect,
                Duration.ofNanos(
                        Math.max(0, request.deadlineNanos() - components.timer().nanos())));
    }

    private Optional<InFlightRequest> acquire(Set<TargetId> exclude) {
        if (components.suspects().verdict(request.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            fail(RunProblems.quarantined());
            return Optional.empty();
        }
        CompletableFuture<InFlightRequest> future = components
                .dispatcher()
                .acquire(new WorkRequest(
                        request.kind(),
                        request.organisation(),
                        request.promptTokens(),
                        request.prefixHash(),
                        request.fingerprint(),
                        request.deadlineNanos(),
                        exclude));
        synchronized (this) {
            acquisition = future;
        }
        if (stopReason().isPresent()) {
            future.cancel(false);
        }
        try {
            InFlightRequest inFlight =
                    Future.fromCompletionStage(future, context).await();
            exchange.addTraceStep("routed");
            return Optional.of(inFlight);
        } catch (StepException e) {
            fail(Problem.of(e));
        } catch (CancellationException e) {
            RunProblems.stoppedWhileQueued(stopReason().orElse(StopReason.ABANDONED), mayHaveRun)
                    .ifPresent(this::fail);
        }
        return Optional.empty();
    }

    private void sendEarlyHead() {
        if (response instanceof StreamResponse streamed) {
            streamed.open();
        }
    }

    private Attempt runAttempt(InFlightRequest inFlight) {
        Optional<Target> target = components.target(inFlight.target());
        if (target.isEmpty()) {
            return new Attempt(
                    AttemptEnd.REFUSED,
                    Optional.of(RunProblems.notRun(inFlight.target(), "the target was removed")),
                    false,
                    false);
        }
        GenerationId generation = GenerationId.random();
        TokenFeed feed;
        switch (new EngineStarter(components, request).start(target.get(), generation)) {
            case EngineStarter.Started started -> feed = started.feed();
            case EngineStarter.Failed failed -> {
                return failedStart(target.get(), failed);
            }
        }
        mayHaveRun = true;
        EngineStream opened = open(target.get(), generation, feed, 0);
        response.onStarted(generation, streamToken(target.get().id(), generation));
        if (response instanceof AsyncResponse) {
            vertx.setTimer(FIRST_READ_TIMEOUT.toMillis(), id -> stop(StopReason.ABANDONED));
        }
        return deliver(opened, Optional.of(inFlight));
    }

    private Attempt failedStart(Target target, EngineStarter.Failed failed) {
        mayHaveRun |= failed.mayHaveRun();
        String detail = failed.failure().getMessage();
        Problem problem =
                failed.mayHaveRun() ? generationLost(target.id(), detail) : RunProblems.notRun(target.id(), detail);
        return new Attempt(failed.end(), Optional.of(problem), failed.mayHaveRun(), false);
    }

    private EngineStream open(Target target, GenerationId generation, TokenFeed feed, long from) {
        Optional<Incarnation> incarnationBefore = components.loads().incarnation(target.id());
        EngineStream opened = new EngineStream(
                vertx,
                components.clients().engines(),
                target,
                generation,
                feed,
                from,
                request.maxTokens(),
                () -> components.loads().hasRestarted(target, incarnationBefore));
        boolean alreadyStopped;
        synchronized (this) {
            stream = opened;
            alreadyStopped = stopReason != null;
        }
        components.runs().attach(generation, this).ifPresent(previous -> previous.stop(StopReason.SUPERSEDED));
        if (alreadyStopped) {
            opened.close();
        }
        return opened;
    }

    private Attempt deliver(EngineStream opened, Optional<InFlightRequest> inFlight) {
        try {
            while (true) {
                switch (opened.next()) {
                    case TokenFeed.Token token -> {
                        inFlight.ifPresent(InFlightRequest::recordToken);
                        tokenLatency.recordToken();
                        response.onToken(token.offset(), token.text());
                    }
                    case TokenFeed.End end -> {
                        components.metrics().countPreemptions(request.kind().name(), end.preemptions());
                        response.onEnd(end.tokens());
                        exchange.addTraceStep("done after " + end.tokens() + " tokens");
                        components.metrics().countOutcome(request.kind().name(), Outcome.DONE);
                        recordServiceResult(tokenLatency.serviceResult());
                        return Attempt.done();
                    }
                    case TokenFeed.Disconnected disconnected -> throw new IllegalStateException(disconnected.message());
                }
            }
        } catch (EngineStream.GenerationLostException e) {
            return onGenerationLost(opened, e);
        } finally {
            components.runs().detach(opened.generation(), this);
            components.metrics().countResumes(request.kind().name(), opened.resumeCount());
        }
    }

    private Attempt onGenerationLost(EngineStream opened, EngineStream.GenerationLostException e) {
        TargetId target = opened.target().id();
        exchange.addTraceStep("generation ended on " + target + ": " + e.getMessage());
        Optional<StopReason> reason = stopReason();
        if (reason.isPresent()) {
            return endStopped(opened, reason.get(), e.getMessage());
        }
        return switch (e.reason()) {
            case CLOSED, SUPERSEDED -> {
                if (response.isResumable()) {
                    response.reconnect();
                    yield Attempt.stopped();
                }
                // Nobody else knows the generation, so the engine has counted an attachment that was lost on the way.
                opened.cancel();
                yield new Attempt(AttemptEnd.FAILED, Optional.of(generationLost(target, e.getMessage())), true, false);
            }
            case CRASHED ->
                new Attempt(AttemptEnd.CRASHED, Optional.of(generationLost(target, e.getMessage())), true, false);
            case INVALID -> {
                opened.cancel();
                yield new Attempt(AttemptEnd.FAILED, Optional.of(generationLost(target, e.getMessage())), true, false);
            }
            case LOST ->
                new Attempt(AttemptEnd.FAILED, Optional.of(generationLost(target, e.getMessage())), true, false);
        };
    }

    private Attempt endStopped(EngineStream opened, StopReason reason, String detail) {
        Optional<Problem> problem = RunProblems.stopped(reason, mayHaveRun);
        switch (reason) {
            case RECONNECT, SUPERSEDED -> {
                if (response.isResumable()) {
                    response.reconnect();
                } else {
                    problem = Optional.of(
                            reason == StopReason.RECONNECT
                                    ? RunProblems.stopping(Step.FIRST_TOKEN, mayHaveRun)
                                    : generationLost(opened.target().id(), detail));
                }
            }
            case ABANDONED, CANCELLED, DEADLINE -> opened.cancel();
            default -> throw new IllegalStateException("unknown reason " + reason);
        }
        return new Attempt(AttemptEnd.CANCELLED, problem, true, true);
    }

    private Problem generationLost(TargetId target, String detail) {
        return RunProblems.generationLost(
                target, detail, response.hasDelivered(), stream == null ? 0 : stream.nextOffset());
    }

    private void fail(Problem original) {
        Problem problem =
                mayHaveRun && original.outcome() == Outcome.NOT_RUN ? original.withOutcome(Outcome.UNKNOWN) : original;
        components.metrics().countOutcome(request.kind().name(), problem.outcome());
        components.metrics().countFailure(problem.step());
        boolean endedByCaller = stopReason()
                .filter(reason -> reason == StopReason.ABANDONED || reason == StopReason.CANCELLED)
                .isPresent();
        if (!endedByCaller) {
            recordServiceResult(problem.outcome() == Outcome.NOT_RUN ? ServiceResult.REFUSED : ServiceResult.LOST);
        }
        response.fail(problem);
    }

    private void recordServiceResult(ServiceResult serviceResult) {
        components
                .metrics()
                .errorBudget()
                .recordResult(request.kind().name(), request.organisation().id(), serviceResult);
    }

    private String streamToken(TargetId target, GenerationId generation) {
        return components
                .streamTokens()
                .sign(new StreamTokens.Claims(
                        target,
                        generation,
                        request.organisation().id(),
                        request.kind().name()));
    }

    private void pause(Duration delay) {
        Promise<Void> wait = Promise.promise();
        vertx.setTimer(Math.max(1, delay.toMillis()), id -> wait.complete());
        wait.future().await();
    }
}
