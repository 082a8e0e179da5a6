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
    private static final int MAX_ATTEMPTS = 3;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final CallerComponents components;
    private final Vertx vertx;

    StreamHandler(CallerComponents components, Vertx vertx) {
        this.components = Objects.requireNonNull(components, "components");
        this.vertx = Objects.requireNonNull(vertx, "vertx");
    }

    /** Delivers the rest of a generation after the offset in {@code Last-Event-ID}. */
    void resume(Exchange exchange, String token) {
        StreamTokens.Claims claims = claims(exchange, token);
        Kind kind = kind(claims);
        long from = nextOffset(exchange, token, kind.maxTokens());
        exchange.setTrace(components
                .log()
                .startTrace(
                        exchange.id(),
                        exchange.organisation().id().value(),
                        kind.name().value()));
        exchange.addTraceStep("resume at offset " + from + " on " + claims.target());
        Target target = target(claims);
        // Stop the earlier run before attaching, so that it does not resume when the engine closes its connection.
        components.runs().find(claims.generation()).ifPresent(run -> run.stop(EngineRun.StopReason.SUPERSEDED));
        TokenFeed feed = attach(exchange, target, claims, from);
        GenerationRequest request = new GenerationRequest(
                kind,
                exchange.organisation(),
                "",
                kind.maxTokens(),
                0,
                new Fingerprint(0, 0),
                exchange.startNanos(),
                exchange.deadlineNanos(kind.deadline()));
        StreamResponse response = new StreamResponse(vertx, exchange, true);
        new EngineRun(components, vertx, exchange, response, request).resume(target, claims.generation(), feed, from);
    }

    private TokenFeed attach(Exchange exchange, Target target, StreamTokens.Claims claims, long from) {
        int refusedConnections = 0;
        for (int attempt = 1; ; attempt++) {
            try {
                return components.clients().engines().resume(target, claims.generation(), from);
            } catch (TargetFailure e) {
                exchange.addTraceStep("resume failed: " + e.getMessage());
                refusedConnections += e.reason() == TargetFailure.Cause.CONNECTION_REFUSED ? 1 : 0;
                if (e.reason() == TargetFailure.Cause.UNKNOWN_GENERATION || refusedConnections > 1) {
                    throw generationLost(claims, e.getMessage());
                }
                if (attempt >= MAX_ATTEMPTS) {
                    throw engineUnreachable(claims, e.getMessage());
                }
            }
            pause();
        }
    }

    private void pause() {
        Promise<Void> wait = Promise.promise();
        vertx.setTimer(RETRY_DELAY.toMillis(), id -> wait.complete());
        wait.future().await();
    }

    /** Cancels a generation immediately. */
    void cancel(Exchange exchange, String token) {
        StreamTokens.Claims claims = claims(exchange, token);
        Target target = target(claims);
        components.runs().find(claims.generation()).ifPresent(run -> run.stop(EngineRun.StopReason.CANCELLED));
        try {
            // A cancel must carry the number of the newest attachment, so attach once more to learn it.
            TokenFeed feed = components.clients().engines().resume(target, claims.generation(), 0);
            feed.close();
            components.clients().engines().cancel(target, claims.generation(), feed.attachment());
        } catch (TargetFailure e) {
            throw e.reason() == TargetFailure.Cause.UNKNOWN_GENERATION
                    ? generationLost(claims, e.getMessage())
                    : engineUnreachable(claims, e.getMessage());
        }
        exchange.succeed(NO_CONTENT, null, null);
    }

    private StreamTokens.Claims claims(Exchange exchange, String token) {
        // A stream of another organisation is reported in the same way as one that does not exist.
        return components
                .streamTokens()
                .verify(token)
                .filter(claims ->
                        claims.organisation().equals(exchange.organisation().id()))
                .orElseThrow(CallerHandler::notFound);
    }

    private Kind kind(StreamTokens.Claims claims) {
        return components
                .config()
                .deployment()
                .map(deployment -> deployment.kinds().get(claims.kind()))
                .orElseThrow(() -> generationLost(claims, "the kind is no longer configured"));
    }

    private Target target(StreamTokens.Claims claims) {
        return components
                .target(claims.target())
                .orElseThrow(() -> generationLost(claims, "the engine is no longer configured"));
    }

    private static long nextOffset(Exchange exchange, String token, int maxTokens) {
        String lastEventId = exchange.request().getHeader("Last-Event-ID");
        if (lastEventId == null || lastEventId.isEmpty()) {
            return 0;
        }
        try {
            int colon = lastEventId.lastIndexOf(':');
            long offset = Long.parseLong(lastEventId.substring(colon + 1));
            if (colon > 0 && lastEventId.substring(0, colon).equals(token) && offset >= 0 && offset < maxTokens) {
                return offset + 1;
            }
        } catch (NumberFormatException e) {
            // Falls through to the exception below.
        }
        throw new ProblemException(Problem.refused(
                        BAD_REQUEST, "invalid-header", Step.RESUME, "Last-Event-ID must be an event id of this stream")
                .withOutcome(Outcome.UNKNOWN));
    }

    private static ProblemException generationLost(StreamTokens.Claims claims, String detail) {
        return problem(GONE, "generation-lost", claims, detail, Optional.empty());
    }

    private static ProblemException engineUnreachable(StreamTokens.Claims claims, String detail) {
        return problem(UNAVAILABLE, "engine-unreachable", claims, detail, Optional.of(Duration.ofMillis(500)));
    }

    private static ProblemException problem(
            int status, String type, StreamTokens.Claims claims, String detail, Optional<Duration> retryAfter) {
        Problem problem = Problem.refused(status, type, Step.RESUME, detail)
                .withOutcome(Outcome.UNKNOWN)
                .withPeer(claims.target().value());
        return new ProblemException(retryAfter.map(problem::withRetryAfter).orElse(problem));
    }
}
