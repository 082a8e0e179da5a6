package org.verbenatally.entry.caller;

import java.time.Duration;
import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.LongPredicate;

import io.vertx.core.Vertx;
import io.vertx.core.VertxException;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import org.jboss.logging.Logger;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.entry.key.KeyedCalls;

/** Dispatches callers' requests by path and method. Each request is handled by one virtual-thread task. */
final class CallerHandler {
    private static final Logger LOG = Logger.getLogger(CallerHandler.class);
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;
    private static final String WORK = "/v1/work/";
    private static final String STREAMS = "/v1/streams/";
    private static final Duration STOPPING_RETRY_AFTER = Duration.ofMillis(200);
    private static final String KEYS = "/v1/keys/";

    private final CallerComponents components;
    private final BooleanSupplier acceptsNewWork;
    private final Authenticator authenticator;
    private final WorkHandler workHandler;
    private final StreamHandler streamHandler;

    /**
     * Creates a handler.
     *
     * @param acceptsNewWork whether requests other than keyed calls are accepted
     * @param outlives whether this instance runs until a deadline on the monotonic clock, as far as is known
     */
    CallerHandler(
            CallerComponents components,
            KeyedCalls keyedCalls,
            Vertx vertx,
            BooleanSupplier acceptsNewWork,
            LongPredicate outlives) {
        this.components = Objects.requireNonNull(components, "components");
        this.acceptsNewWork = Objects.requireNonNull(acceptsNewWork, "acceptsNewWork");
        this.authenticator = new Authenticator(components.config());
        this.workHandler = new WorkHandler(components, keyedCalls, vertx, outlives);
        this.streamHandler = new StreamHandler(components, vertx);
    }

    void handle(HttpServerRequest request) {
        try {
            handle(new Exchange(request, components.timer().nanos()));
        } catch (RuntimeException | Error e) {
            // A caller without a response would wait for as long as its connection is open.
            request.connection().close();
            LOG.errorf(e, "caller: closed the connection of a request that could not be answered");
        }
    }

    private void handle(Exchange exchange) {
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
        } catch (RuntimeException | Error e) {
            LOG.errorf(e, "caller: request %s failed with an internal error", exchange.id());
            fail(exchange, internalError());
        } catch (Exception e) {
            // Future.await throws the checked exceptions of a lost connection without declaring them.
            LOG.debugf("caller: request %s ended with its connection: %s", exchange.id(), e.getMessage());
            fail(exchange, internalError());
        }
    }

    static ProblemException stopping(String detail) {
        return new ProblemException(
                Problem.refused(UNAVAILABLE, "stopping", Step.ACCEPT, detail).withRetryAfter(STOPPING_RETRY_AFTER));
    }

    static Problem internalError() {
        return Problem.refused(INTERNAL_ERROR, "internal-error", Step.ACCEPT, "an internal error occurred")
                .withOutcome(Outcome.UNKNOWN);
    }

    private void fail(Exchange exchange, Problem problem) {
        components.metrics().countFailure(problem.step());
        try {
            exchange.fail(problem);
        } catch (RuntimeException e) {
            LOG.debugf("caller: request %s could not be answered: %s", exchange.id(), e.getMessage());
            exchange.request().connection().close();
        }
    }

    private void dispatch(Exchange exchange) {
        String path = exchange.request().path();
        if (path == null) {
            throw notFound();
        }
        boolean stopping = !acceptsNewWork.getAsBoolean();
        if (stopping) {
            exchange.response().putHeader("Connection", "close");
        }
        if (stopping && !isKeyed(exchange, path)) {
            throw stopping("this entry accepts no new work");
        }
        exchange.setOrganisation(authenticator.authenticate(exchange.request()));
        try (OrganisationLimits.Slot slot = components
                .limits()
                .acquire(exchange.organisation(), exchange.startNanos(), !path.startsWith(STREAMS))) {
            if (path.startsWith(WORK)) {
                require(exchange, HttpMethod.POST);
                workHandler.handleWork(exchange, path.substring(WORK.length()));
            } else if (path.startsWith(KEYS)) {
                require(exchange, HttpMethod.POST);
                workHandler.issueKey(exchange, path.substring(KEYS.length()));
            } else if (path.equals("/v1/completions")) {
                require(exchange, HttpMethod.POST);
                workHandler.handleCompletion(exchange);
            } else if (path.startsWith(STREAMS)) {
                dispatchStream(exchange, path.substring(STREAMS.length()));
            } else {
                throw notFound();
            }
        }
    }

    /**
     * Returns whether the request is a call with an idempotency key. Such a call is handled even while this entry is
     * stopping: an earlier request with the key may have run, and only the key's owner knows.
     */
    private boolean isKeyed(Exchange exchange, String path) {
        return path.startsWith(WORK)
                && exchange.hasIdempotencyKey()
                && workHandler.needsKey(path.substring(WORK.length()));
    }

    private void dispatchStream(Exchange exchange, String token) {
        if (exchange.request().method().equals(HttpMethod.GET)) {
            streamHandler.resume(exchange, token);
        } else {
            require(exchange, HttpMethod.DELETE);
            streamHandler.cancel(exchange, token);
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
