package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.entry.key.KeyedCalls;

/** Dispatches the requests of callers. Each request is handled by one virtual-thread task. */
final class CallerHandler {
    private static final Logger LOG = Logger.getLogger(CallerHandler.class);
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final String WORK = "/v1/work/";
    private static final String STREAMS = "/v1/streams/";
    private static final String KEYS = "/v1/keys/";

    private final CallerParts parts;
    private final BooleanSupplier accepts;
    private final Authenticator authenticator;
    private final WorkHandler work;
    private final StreamHandler streams;

    CallerHandler(CallerParts parts, KeyedCalls keyedCalls, Vertx vertx, BooleanSupplier accepts) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.accepts = Objects.requireNonNull(accepts, "accepts");
        this.authenticator = new Authenticator(parts.config());
        this.work = new WorkHandler(parts, keyedCalls, vertx);
        this.streams = new StreamHandler(parts, vertx);
    }

    void handle(HttpServerRequest request) {
        Exchange exchange = new Exchange(request, parts.timer().nanos());
        try {
            exchange.checkId();
            dispatch(exchange);
        } catch (ProblemException e) {
            fail(exchange, e.problem());
        } catch (StepException e) {
            fail(exchange, Problem.of(e));
        } catch (VertxException e) {
            LOG.debugf("caller: request %s ended with its connection: %s", exchange.id(), e.getMessage());
            fail(exchange, internalError());
        } catch (RuntimeException e) {
            LOG.errorf(e, "caller: request %s failed with an internal error", exchange.id());
            fail(exchange, internalError());
        } catch (Exception e) {
            // Future.await throws the checked exceptions of a lost connection undeclared.
            LOG.debugf("caller: request %s ended with its connection: %s", exchange.id(), e.getMessage());
            fail(exchange, internalError());
        }
    }

    private static Problem internalError() {
        return Problem.refused(INTERNAL_ERROR, "internal-error", Step.ACCEPT, "an internal error occurred")
                .withOutcome(Outcome.UNKNOWN);
    }

    private void fail(Exchange exchange, Problem problem) {
        parts.metrics().failed(problem.step());
        try {
            exchange.fail(problem);
        } catch (RuntimeException e) {
            LOG.debugf("caller: request %s could not be answered: %s", exchange.id(), e.getMessage());
        }
    }

    private void dispatch(Exchange exchange) {
        String path = exchange.request().path();
        if (path == null) {
            throw notFound();
        }
        boolean stopping = !accepts.getAsBoolean();
        if (stopping) {
            exchange.response().putHeader("Connection", "close");
        }
        if (stopping && !isKeyed(exchange, path)) {
            throw new ProblemException(
                    Problem.refused(UNAVAILABLE, "stopping", Step.ACCEPT, "this entry accepts no new work")
                            .withRetryAfter(Duration.ofMillis(200)));
        }
        exchange.organisation(authenticator.authenticate(exchange.request()));
        try (OrganisationLimits.Place place =
                parts.limits().enter(exchange.organisation(), exchange.startNanos(), !path.startsWith(STREAMS))) {
            if (path.startsWith(WORK)) {
                require(exchange, HttpMethod.POST);
                work.work(exchange, path.substring(WORK.length()));
            } else if (path.startsWith(KEYS)) {
                require(exchange, HttpMethod.POST);
                work.issueKey(exchange, path.substring(KEYS.length()));
            } else if (path.equals("/v1/completions")) {
                require(exchange, HttpMethod.POST);
                work.completion(exchange);
            } else if (path.startsWith(STREAMS)) {
                streams(exchange, path.substring(STREAMS.length()));
            } else {
                throw notFound();
            }
        }
    }

    /** A call with a key is answered to the end: an earlier copy may have run, which only the key's owner can tell. */
    private boolean isKeyed(Exchange exchange, String path) {
        return path.startsWith(WORK) && exchange.hasKey() && work.needsKey(path.substring(WORK.length()));
    }

    private void streams(Exchange exchange, String token) {
        if (exchange.request().method().equals(HttpMethod.GET)) {
            streams.resume(exchange, token);
        } else {
            require(exchange, HttpMethod.DELETE);
            streams.cancel(exchange, token);
        }
    }

    private static void require(Exchange exchange, HttpMethod method) {
        if (!exchange.request().method().equals(method)) {
            exchange.response().putHeader("Allow", method.name());
            throw new ProblemException(Problem.refused(
                    METHOD_NOT_ALLOWED, "method-not-allowed", Step.ACCEPT, "the method must be " + method.name()));
        }
    }

    static ProblemException notFound() {
        return new ProblemException(
                Problem.refused(NOT_FOUND, "not-found", Step.ACCEPT, "there is nothing at this path"));
    }
}
