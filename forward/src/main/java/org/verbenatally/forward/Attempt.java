package org.verbenatally.forward;

import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.StreamResetException;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.http.ResponseHeads;

/**
 * One send of a request to one target, from the connection to the head of the response.
 *
 * @param targetState state of the target
 * @param clientRequest the exchange, to be reset if its response is not read to the end
 * @param response the response, paused
 * @param head the decoded head of the response
 * @param reused whether the connection had been used before
 */
record Attempt(
        TargetState targetState,
        HttpClientRequest clientRequest,
        HttpClientResponse response,
        ResponseHead head,
        boolean reused) {
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
        HttpClientRequest clientRequest;
        try {
            clientRequest = components
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
            clientRequest.reset();
            String reason = caller.isGone() ? "caller has left" : "target began to leave";
            throw new StepException(Step.SEND, target.id().value(), Outcome.NOT_RUN, reason);
        }
        try {
            return send(components, request, caller, state, clientRequest, metadata, timeout, onSent);
        } catch (StepException e) {
            boolean cancelled = caller.isGone() || e.getCause() instanceof StreamResetException;
            if (!cancelled && !(e.getCause() instanceof TimeoutException)) {
                state.onUnreachable(components.timer().nanos());
                components.crashDetector().onConnectionLost(state);
            }
            throw e;
        } catch (RuntimeException | Error e) {
            clientRequest.reset();
            throw e;
        }
    }

    private static Attempt send(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            TargetState state,
            HttpClientRequest clientRequest,
            ForwardingMetadata metadata,
            ResponseTimeout timeout,
            Consumer<Runnable> onSent) {
        ForwardTarget target = state.target();
        Headers.copyEndToEnd(caller.request().headers(), clientRequest.headers());
        components.codec().write(metadata, clientRequest.headers());
        boolean reused = components.client().isReused(clientRequest);
        LogEvent.of("request.sent")
                .request(request.id())
                .with("target", state.target().id())
                .with("leftMs", metadata.remaining().toMillis())
                .with("ownRequests", state.ownRequests())
                .with("peerRequests", state.peerRequests())
                .with("tokens", state.ownTokens() + state.peerTokens())
                .with("backup", metadata.backup().map(Object::toString).orElse(""))
                .with("continues", metadata.continuation().isPresent())
                .with("connection", String.valueOf(clientRequest.connection().localAddress()))
                .with("reused", reused)
                .info(LOG);
        HttpClientResponse response = components.client().send(clientRequest, request.body(), timeout, onSent);
        Attempt attempt =
                new Attempt(state, clientRequest, response, components.codec().read(response), reused);
        attempt.readDeparture(components, request, target);
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
        } else if (head.departure() == ResponseHead.Departure.ANNOUNCED && !isUntrusted(request)) {
            components.directory().onDepartureAnnounced(target);
        }
    }

    /**
     * Returns whether the response may belong to another request, or cannot be trusted for another reason. On a
     * connection that was used before, a refusal must state its request, as it may be a copy of an earlier one.
     */
    boolean isUntrusted(ForwardedRequest request) {
        return ResponseHeads.isJoined(response)
                || head.isUntrusted(request.id())
                || reused && head.notRun() && head.requestId().isEmpty();
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

    /** Ends the exchange without reading the rest of its response. */
    void cancel() {
        clientRequest.reset();
    }
}
