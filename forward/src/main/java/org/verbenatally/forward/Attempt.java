package org.verbenatally.forward;

import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.StreamResetException;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;

/**
 * One send of a request to one target, from the connection to the head of the response.
 *
 * @param targetState state of the target
 * @param exchange the exchange, to be cancelled if its response is not read to the end
 * @param response the response, paused
 * @param head the decoded head of the response
 * @param objection why the response must not be taken for that of the request, empty if it can be
 */
record Attempt(
        TargetState targetState,
        TargetExchange exchange,
        HttpClientResponse response,
        ResponseHead head,
        Optional<String> objection) {
    private static final Logger LOG = Logger.getLogger(Attempt.class);

    /**
     * Sends a request and waits for the head of the response.
     *
     * @param components components of this instance
     * @param request the request
     * @param caller its caller
     * @param state state of the target
     * @param metadata what is added to the request
     * @param timeout how long to wait for the head
     * @param onSent receives the action that cancels the exchange, as soon as the request is being sent
     * @throws StepException with outcome {@code NOT_RUN} if nothing was sent, {@code UNKNOWN} if the target may run it
     */
    static Attempt start(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            TargetState state,
            ForwardingMetadata metadata,
            ResponseTimeout timeout,
            Consumer<Runnable> onSent) {
        ForwardTarget target = state.target();
        checkEvacuation(components, target);
        TargetExchange exchange;
        try {
            exchange = components
                    .client()
                    .connect(
                            request.service(),
                            target.address(),
                            caller.request().method(),
                            caller.request().uri(),
                            timeout.limit());
        } catch (StepException e) {
            state.onUnreachable(components.timer().nanos());
            throw e;
        }
        if (caller.isGone() || components.directory().isLeaving(state)) {
            exchange.release();
            checkEvacuation(components, target);
            String reason = caller.isGone() ? "caller has left" : "target began to leave";
            throw new StepException(Step.SEND, target.id().value(), Outcome.NOT_RUN, reason);
        }
        if (!exchange.isReused()) {
            state.onContact(components.timer().nanos());
        }
        if (state.onConnected()) {
            components.gate().onReachableAgain(target);
        }
        try (SendGate.Permit permit = components.gate().acquire(target, exchange)) {
            return sendPermitted(components, request, caller, state, exchange, permit, metadata, timeout, onSent);
        }
    }

    private static void checkEvacuation(ForwardComponents components, ForwardTarget target) {
        if (components.directory().isEvacuated(target)) {
            components.metrics().countDecision("evacuated");
            throw new StepException(
                    Step.SEND,
                    target.id().value(),
                    Outcome.NOT_RUN,
                    "failure domain " + target.failureDomain() + " is evacuated");
        }
    }

    private static Attempt sendPermitted(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            TargetState state,
            TargetExchange exchange,
            SendGate.Permit permit,
            ForwardingMetadata metadata,
            ResponseTimeout timeout,
            Consumer<Runnable> onSent) {
        try {
            Attempt attempt = send(components, request, caller, state, exchange, metadata, timeout, onSent);
            if (!attempt.isUntrusted()) {
                permit.onResponse(attempt.head());
            }
            return attempt;
        } catch (StepException e) {
            boolean cancelled = caller.isGone() || e.getCause() instanceof StreamResetException;
            if (!cancelled && !(e.getCause() instanceof TimeoutException)) {
                state.onUnreachable(components.timer().nanos());
                components.crashDetector().onConnectionLost(state);
            }
            throw e;
        } catch (RuntimeException | Error e) {
            exchange.cancel();
            throw e;
        }
    }

    private static Attempt send(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            TargetState state,
            TargetExchange exchange,
            ForwardingMetadata metadata,
            ResponseTimeout timeout,
            Consumer<Runnable> onSent) {
        ForwardTarget target = state.target();
        Headers.copyEndToEnd(caller.request().headers(), exchange.request().headers());
        components.codec().write(metadata, exchange.request().headers());
        LogEvent.of("request.sent")
                .request(request.id())
                .with("target", state.target().id())
                .with("leftMs", metadata.remaining().toMillis())
                .with("ownRequests", state.ownRequests())
                .with("peerRequests", state.peerRequests())
                .with("tokens", state.ownTokens() + state.peerTokens())
                .with("backup", metadata.backup().map(Object::toString).orElse(""))
                .with("continues", metadata.continuation().isPresent())
                .with("connection", exchange.localAddress())
                .with("reused", exchange.isReused())
                .info(LOG);
        HttpClientResponse response = exchange.send(request.body(), timeout, onSent);
        state.onContact(components.timer().nanos());
        ResponseHead head = components.codec().read(response);
        Optional<String> objection = ResponseTrust.objection(exchange, response, head, request.id());
        Attempt attempt = new Attempt(state, exchange, response, head, objection);
        if (objection.isPresent()) {
            components.metrics().countDecision("response distrusted");
            attempt.logDistrust(request);
        } else {
            attempt.readDeparture(components, request, target);
        }
        return attempt;
    }

    /** Takes the target out of the choice if the response says that it is about to leave. */
    private void readDeparture(ForwardComponents components, ForwardedRequest request, ForwardTarget target) {
        if (head.departure() == ResponseHead.Departure.MALFORMED) {
            components.metrics().countDecision("departure malformed");
            LogEvent.of("departure.malformed")
                    .request(request.id())
                    .with("target", target.id())
                    .warn(LOG);
        } else if (head.departure() == ResponseHead.Departure.ANNOUNCED) {
            components.directory().onDepartureAnnounced(target);
        }
    }

    /** Returns whether the response must not be taken for that of the request. */
    boolean isUntrusted() {
        return objection.isPresent();
    }

    private void logDistrust(ForwardedRequest request) {
        LogEvent.of("response.distrusted")
                .request(request.id())
                .with("target", targetState.target().id())
                .with("step", Step.SEND)
                .with("status", head.status())
                .with("statedRequest", head.requestId().orElse(""))
                .with("connection", exchange.localAddress())
                .with("reused", exchange.isReused())
                .with("reason", objection.orElse(""))
                .warn(LOG);
    }

    /** Logs that the target has not run the request, or has no copy to continue from. */
    void logNotRun(ForwardedRequest request) {
        LogEvent.of("attempt.notRun")
                .request(request.id())
                .with("target", targetState.target().id())
                .with("status", head.status())
                .info(LOG);
    }

    /** Logs that the response is not passed on, as the caller would take it for a refusal. */
    void logWithheld(ForwardedRequest request) {
        LogEvent.of("response.withheld")
                .request(request.id())
                .with("target", targetState.target().id())
                .with("status", head.status())
                .info(LOG);
    }

    /** Logs that a send failed. */
    static void logFailure(ForwardedRequest request, TargetState state, StepException e) {
        LogEvent.of("attempt.failed")
                .request(request.id())
                .with("target", state.target().id())
                .with("step", e.step())
                .with("outcome", e.outcome())
                .with("reason", e.getMessage())
                .info(LOG);
    }

    /** Ends the exchange without using the rest of its response. */
    void discard() {
        exchange.discard(response);
    }

    /** Ends the exchange without reading the rest of its response, and closes its connection. */
    void cancel() {
        exchange.cancel();
    }
}
