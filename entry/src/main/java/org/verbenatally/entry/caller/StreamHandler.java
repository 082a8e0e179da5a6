package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.verbenatally.config.Kind;
import org.verbenatally.config.Target;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.entry.target.TargetFailure;
import org.verbenatally.entry.target.TokenFeed;
import org.verbenatally.policy.Fingerprint;

/** Resumes and cancels streams that any entry has started. */
final class StreamHandler {
    private static final int NO_CONTENT = 204;
    private static final int BAD_REQUEST = 400;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int ATTEMPTS = 3;
    private static final Duration PAUSE = Duration.ofMillis(200);

    private final CallerParts parts;
    private final Vertx vertx;

    StreamHandler(CallerParts parts, Vertx vertx) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    /** Delivers the rest of a generation after the offset in {@code Last-Event-ID}. */
    void resume(Exchange exchange, String token) {
        StreamTokens.Claims claims = claims(exchange, token);
        Kind kind = kind(claims);
        long from = nextOffset(exchange, token, kind.maxTokens());
        exchange.trace(parts.log()
                .open(
                        exchange.id(),
                        exchange.organisation().id().value(),
                        kind.name().value()));
        exchange.note("resume at offset " + from + " on " + claims.target());
        Target target = target(claims);
        // Before the attach: the earlier run must not take the lost connection as a reason to resume.
        parts.runs().find(claims.generation()).ifPresent(run -> run.stop(EngineRun.Stop.SUPERSEDED));
        TokenFeed feed = attach(exchange, target, claims, from);
        Work work = new Work(
                kind,
                exchange.organisation(),
                "",
                kind.maxTokens(),
                0,
                new Fingerprint(0, 0),
                exchange.startNanos(),
                exchange.deadlineNanos(kind.deadline()));
        StreamAnswer answer = new StreamAnswer(vertx, exchange, true);
        new EngineRun(parts, vertx, exchange, answer, work).follow(target, claims.generation(), feed, from);
    }

    private TokenFeed attach(Exchange exchange, Target target, StreamTokens.Claims claims, long from) {
        int refused = 0;
        for (int attempt = 1; ; attempt++) {
            try {
                return parts.clients().engines().resume(target, claims.generation(), from);
            } catch (TargetFailure e) {
                exchange.note("resume failed: " + e.getMessage());
                refused += e.reason() == TargetFailure.Cause.CONNECTION_REFUSED ? 1 : 0;
                if (e.reason() == TargetFailure.Cause.UNKNOWN_GENERATION || refused > 1) {
                    throw lost(claims, e.getMessage());
                }
                if (attempt >= ATTEMPTS) {
                    throw unreachable(claims, e.getMessage());
                }
            }
            pause();
        }
    }

    private void pause() {
        Promise<Void> wait = Promise.promise();
        vertx.setTimer(PAUSE.toMillis(), id -> wait.complete());
        wait.future().await();
    }

    /** Cancels a generation at once. */
    void cancel(Exchange exchange, String token) {
        StreamTokens.Claims claims = claims(exchange, token);
        Target target = target(claims);
        parts.runs().find(claims.generation()).ifPresent(run -> run.stop(EngineRun.Stop.CANCELLED));
        try {
            // The cancel needs the number of the newest attachment; a new attachment has it.
            TokenFeed feed = parts.clients().engines().resume(target, claims.generation(), 0);
            feed.close();
            parts.clients().engines().cancel(target, claims.generation(), feed.attachment());
        } catch (TargetFailure e) {
            throw e.reason() == TargetFailure.Cause.UNKNOWN_GENERATION
                    ? lost(claims, e.getMessage())
                    : unreachable(claims, e.getMessage());
        }
        exchange.succeed(NO_CONTENT, null, null);
    }

    private StreamTokens.Claims claims(Exchange exchange, String token) {
        // A stream of another organisation is as unknown as one that does not exist.
        return parts.streamTokens()
                .read(token)
                .filter(claims ->
                        claims.organisation().equals(exchange.organisation().id()))
                .orElseThrow(CallerHandler::notFound);
    }

    private Kind kind(StreamTokens.Claims claims) {
        return parts.config()
                .deployment()
                .map(deployment -> deployment.kinds().get(claims.kind()))
                .orElseThrow(() -> lost(claims, "the kind is no longer configured"));
    }

    private Target target(StreamTokens.Claims claims) {
        return parts.target(claims.target()).orElseThrow(() -> lost(claims, "the engine is no longer configured"));
    }

    private static long nextOffset(Exchange exchange, String token, int maxTokens) {
        String last = exchange.request().getHeader("Last-Event-ID");
        if (last == null || last.isEmpty()) {
            return 0;
        }
        try {
            int colon = last.lastIndexOf(':');
            long offset = Long.parseLong(last.substring(colon + 1));
            if (colon > 0 && last.substring(0, colon).equals(token) && offset >= 0 && offset < maxTokens) {
                return offset + 1;
            }
        } catch (NumberFormatException e) {
            // Falls through to the refusal.
        }
        throw new ProblemException(Problem.refused(
                        BAD_REQUEST, "invalid-header", Step.RESUME, "Last-Event-ID must be an id of this stream")
                .withOutcome(Outcome.UNKNOWN));
    }

    private static ProblemException lost(StreamTokens.Claims claims, String detail) {
        return failure(GONE, "generation-lost", claims, detail, Optional.empty());
    }

    private static ProblemException unreachable(StreamTokens.Claims claims, String detail) {
        return failure(UNAVAILABLE, "engine-unreachable", claims, detail, Optional.of(Duration.ofMillis(500)));
    }

    private static ProblemException failure(
            int status, String type, StreamTokens.Claims claims, String detail, Optional<Duration> retryAfter) {
        Problem problem = Problem.refused(status, type, Step.RESUME, detail)
                .withOutcome(Outcome.UNKNOWN)
                .at(claims.target().value());
        return new ProblemException(retryAfter.map(problem::withRetryAfter).orElse(problem));
    }
}
