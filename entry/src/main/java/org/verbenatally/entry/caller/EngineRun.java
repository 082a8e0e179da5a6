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
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.entry.operator.EntryMetrics;
import org.verbenatally.entry.operator.Service;
import org.verbenatally.entry.target.EngineStream;
import org.verbenatally.entry.target.TokenFeed;
import org.verbenatally.policy.Flight;
import org.verbenatally.policy.FlightEnd;
import org.verbenatally.policy.RetryInput;
import org.verbenatally.policy.SuspectTable;
import org.verbenatally.policy.WorkRequest;

/**
 * One engine request from admission to the last token: one or more attempts, each with its own generation, of which
 * only the last may deliver tokens. One virtual-thread task runs it; {@link #stop} may be called from any thread.
 */
final class EngineRun {
    /** Time for a caller that lost its connection to resume at some entry. */
    private static final Duration ABSENCE = Duration.ofSeconds(10);
    /** Time for the first read of a stream whose address was given out with status 202. */
    private static final Duration FIRST_READ = Duration.ofSeconds(25);

    /** Time without an answer after which a stream's head is sent, so that keep-alives can follow. */
    private static final Duration EARLY_HEAD = Duration.ofSeconds(1);

    private final CallerParts parts;
    private final Exchange exchange;
    private final Answer answer;
    private final Work work;
    private final Vertx vertx;
    private final Context context;
    private final Delivery delivery;
    private Stop stop;
    private EngineStream stream;
    private CompletableFuture<Flight> waiting;
    private boolean mayHaveRun;
    private long timer = -1;
    private long early = -1;

    /** Why a run ends before its generation. */
    enum Stop {
        /** The caller went away and did not come back. */
        ABANDONED,
        /** The caller cancelled the stream. */
        CANCELLED,
        /** The deadline passed. */
        DEADLINE,
        /** The caller reads the generation on another connection. */
        SUPERSEDED,
        /** This entry stops; the caller is to resume elsewhere. */
        RECONNECT
    }

    /** How one attempt ended. */
    private record Attempt(FlightEnd end, Optional<Problem> problem, boolean byteMayHaveLeft, boolean last) {
        static Attempt done() {
            return new Attempt(FlightEnd.DONE, Optional.empty(), true, true);
        }

        static Attempt stopped() {
            return new Attempt(FlightEnd.CANCELLED, Optional.empty(), true, true);
        }
    }

    EngineRun(CallerParts parts, Vertx vertx, Exchange exchange, Answer answer, Work work) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
        this.context = vertx.getOrCreateContext();
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.answer = Objects.requireNonNull(answer, "answer");
        this.work = Objects.requireNonNull(work, "work");
        EntryMetrics.TokenMeters meters = parts.metrics().tokens(work.kind().name());
        this.delivery = new Delivery(meters, work.startNanos(), parts.config().deployment());
    }

    /** Runs the request until the answer is complete or has failed. */
    void run() {
        begin();
        try {
            attempts();
        } finally {
            finish();
        }
    }

    /** Delivers the rest of a generation to which a new attachment was made. */
    void follow(Target target, GenerationId generation, TokenFeed feed, long from) {
        begin();
        try {
            EngineStream opened = open(target, generation, feed, from);
            answer.started(generation, token(target.id(), generation));
            Attempt attempt = deliver(opened, Optional.empty());
            attempt.problem().ifPresent(this::failed);
        } finally {
            finish();
        }
    }

    private void begin() {
        parts.runs().add(this);
        long left = work.deadlineNanos() - parts.timer().nanos();
        timer = vertx.setTimer(Math.max(1, left / 1_000_000), id -> stop(Stop.DEADLINE));
        early = vertx.setTimer(EARLY_HEAD.toMillis(), id -> openEarly());
        answer.onGone(() -> context.runOnContext(v -> callerGone()));
    }

    private void finish() {
        vertx.cancelTimer(timer);
        vertx.cancelTimer(early);
        parts.runs().remove(this);
    }

    private void callerGone() {
        exchange.note("the caller went away");
        if (answer.resumable()) {
            vertx.setTimer(ABSENCE.toMillis(), id -> stop(Stop.ABANDONED));
        } else {
            stop(Stop.ABANDONED);
        }
    }

    /** Ends the run; the first reason counts. */
    void stop(Stop reason) {
        EngineStream open;
        CompletableFuture<Flight> queued;
        synchronized (this) {
            if (stop != null) {
                return;
            }
            stop = reason;
            open = stream;
            queued = waiting;
        }
        if (queued != null) {
            queued.cancel(false);
        }
        if (open != null) {
            open.close();
        }
    }

    private synchronized Optional<Stop> stopped() {
        return Optional.ofNullable(stop);
    }

    private void attempts() {
        Set<TargetId> exclude = new HashSet<>();
        int attempts = 0;
        while (true) {
            attempts++;
            Optional<Flight> flight = acquire(exclude);
            if (flight.isEmpty()) {
                return;
            }
            TargetId target = flight.get().target();
            exchange.note("attempt " + attempts + " on " + target);
            Attempt attempt = attempt(flight.get());
            flight.get().end(attempt.end());
            if (attempt.problem().isEmpty()) {
                return;
            }
            Optional<Duration> delay = attempt.last() || stopped().isPresent()
                    ? Optional.empty()
                    : parts.dispatcher().retries().decide(retryInput(target, attempt, attempts));
            if (delay.isEmpty()) {
                failed(attempt.problem().get());
                return;
            }
            exchange.note("retry: " + attempt.problem().get().detail());
            parts.metrics().retried(work.kind().name());
            pause(delay.get());
            exclude.add(target);
            if (exclude.size() >= parts.enginesFor(work.kind())) {
                exclude.clear();
            }
        }
    }

    private RetryInput retryInput(TargetId target, Attempt attempt, int attempts) {
        boolean suspect = parts.suspects().check(work.fingerprint()) != SuspectTable.Verdict.CLEAR;
        return new RetryInput(
                work.kind(),
                work.organisation().id(),
                target,
                attempt.end(),
                attempts,
                attempt.byteMayHaveLeft(),
                answer.delivered(),
                suspect,
                Duration.ofNanos(
                        Math.max(0, work.deadlineNanos() - parts.timer().nanos())));
    }

    private Optional<Flight> acquire(Set<TargetId> exclude) {
        if (parts.suspects().check(work.fingerprint()) == SuspectTable.Verdict.QUARANTINED) {
            failed(RunProblems.quarantined());
            return Optional.empty();
        }
        CompletableFuture<Flight> future = parts.dispatcher()
                .acquire(new WorkRequest(
                        work.kind(),
                        work.organisation(),
                        work.promptTokens(),
                        work.prefixHash(),
                        work.fingerprint(),
                        work.deadlineNanos(),
                        exclude));
        synchronized (this) {
            waiting = future;
        }
        if (stopped().isPresent()) {
            future.cancel(false);
        }
        try {
            Flight flight = Future.fromCompletionStage(future, context).await();
            exchange.note("routed");
            return Optional.of(flight);
        } catch (StepException e) {
            failed(Problem.of(e));
        } catch (CancellationException e) {
            RunProblems.stoppedWhileWaiting(stopped().orElse(Stop.ABANDONED), mayHaveRun)
                    .ifPresent(this::failed);
        }
        return Optional.empty();
    }

    private void openEarly() {
        if (answer instanceof StreamAnswer streamed) {
            streamed.open();
        }
    }

    private Attempt attempt(Flight flight) {
        Optional<Target> target = parts.target(flight.target());
        if (target.isEmpty()) {
            return new Attempt(
                    FlightEnd.REFUSED,
                    Optional.of(RunProblems.notRun(flight.target(), "the target was removed")),
                    false,
                    false);
        }
        GenerationId generation = GenerationId.random();
        TokenFeed feed;
        switch (new EngineStarter(parts, work).start(target.get(), generation)) {
            case EngineStarter.Started started -> feed = started.feed();
            case EngineStarter.Failed failed -> {
                return failedStart(target.get(), failed);
            }
        }
        mayHaveRun = true;
        EngineStream opened = open(target.get(), generation, feed, 0);
        answer.started(generation, token(target.get().id(), generation));
        if (answer instanceof AsyncAnswer) {
            vertx.setTimer(FIRST_READ.toMillis(), id -> stop(Stop.ABANDONED));
        }
        return deliver(opened, Optional.of(flight));
    }

    private Attempt failedStart(Target target, EngineStarter.Failed failed) {
        mayHaveRun |= failed.mayHaveRun();
        String detail = failed.failure().getMessage();
        Problem problem =
                failed.mayHaveRun() ? generationLost(target.id(), detail) : RunProblems.notRun(target.id(), detail);
        return new Attempt(failed.end(), Optional.of(problem), failed.mayHaveRun(), false);
    }

    private EngineStream open(Target target, GenerationId generation, TokenFeed feed, long from) {
        Optional<Incarnation> known = parts.loads().incarnation(target.id());
        EngineStream opened = new EngineStream(
                vertx,
                parts.clients().engines(),
                target,
                generation,
                feed,
                from,
                work.maxTokens(),
                () -> parts.loads().hasRestarted(target, known));
        boolean close;
        synchronized (this) {
            stream = opened;
            close = stop != null;
        }
        parts.runs().attach(generation, this).ifPresent(before -> before.stop(Stop.SUPERSEDED));
        if (close) {
            opened.close();
        }
        return opened;
    }

    private Attempt deliver(EngineStream opened, Optional<Flight> flight) {
        try {
            while (true) {
                switch (opened.next()) {
                    case TokenFeed.Token token -> {
                        flight.ifPresent(Flight::token);
                        delivery.token();
                        answer.token(token.offset(), token.text());
                    }
                    case TokenFeed.End end -> {
                        parts.metrics().preempted(work.kind().name(), end.preemptions());
                        answer.end(end.tokens());
                        exchange.note("done after " + end.tokens() + " tokens");
                        parts.metrics().answered(work.kind().name(), Outcome.DONE);
                        served(delivery.service());
                        return Attempt.done();
                    }
                    case TokenFeed.Lost lost -> throw new IllegalStateException(lost.message());
                }
            }
        } catch (EngineStream.GenerationLost e) {
            return lost(opened, e);
        } finally {
            parts.runs().detach(opened.generation(), this);
            parts.metrics().resumed(work.kind().name(), opened.resumes());
        }
    }

    private Attempt lost(EngineStream opened, EngineStream.GenerationLost e) {
        TargetId target = opened.target().id();
        exchange.note("generation ended on " + target + ": " + e.getMessage());
        Optional<Stop> reason = stopped();
        if (reason.isPresent()) {
            return endStopped(opened, reason.get());
        }
        return switch (e.reason()) {
            case CLOSED, SUPERSEDED -> {
                answer.reconnect();
                yield Attempt.stopped();
            }
            case CRASHED ->
                new Attempt(FlightEnd.CRASHED, Optional.of(generationLost(target, e.getMessage())), true, false);
            case INVALID -> {
                opened.cancel();
                yield new Attempt(FlightEnd.FAILED, Optional.of(generationLost(target, e.getMessage())), true, false);
            }
            case LOST ->
                new Attempt(FlightEnd.FAILED, Optional.of(generationLost(target, e.getMessage())), true, false);
        };
    }

    private Attempt endStopped(EngineStream opened, Stop reason) {
        switch (reason) {
            case RECONNECT, SUPERSEDED -> answer.reconnect();
            case ABANDONED, CANCELLED, DEADLINE -> opened.cancel();
            default -> throw new IllegalStateException("unknown reason " + reason);
        }
        return new Attempt(FlightEnd.CANCELLED, stopProblem(), true, true);
    }

    private Optional<Problem> stopProblem() {
        return stopped().flatMap(reason -> RunProblems.stopped(reason, mayHaveRun));
    }

    private Problem generationLost(TargetId target, String detail) {
        return RunProblems.generationLost(target, detail, answer.delivered(), stream == null ? 0 : stream.nextOffset());
    }

    private void failed(Problem found) {
        Problem problem = mayHaveRun && found.outcome() == Outcome.NOT_RUN ? found.withOutcome(Outcome.UNKNOWN) : found;
        parts.metrics().answered(work.kind().name(), problem.outcome());
        parts.metrics().failed(problem.step());
        boolean callerLeft = stopped()
                .filter(reason -> reason == Stop.ABANDONED || reason == Stop.CANCELLED)
                .isPresent();
        if (!callerLeft) {
            served(problem.outcome() == Outcome.NOT_RUN ? Service.REFUSED : Service.LOST);
        }
        answer.fail(problem);
    }

    private void served(Service service) {
        parts.metrics().budget().count(work.kind().name(), work.organisation().id(), service);
    }

    private String token(TargetId target, GenerationId generation) {
        return parts.streamTokens()
                .write(new StreamTokens.Claims(
                        target,
                        generation,
                        work.organisation().id(),
                        work.kind().name()));
    }

    private void pause(Duration delay) {
        Promise<Void> wait = Promise.promise();
        vertx.setTimer(Math.max(1, delay.toMillis()), id -> wait.complete());
        wait.future().await();
    }
}
