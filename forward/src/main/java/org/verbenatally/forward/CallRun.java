package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.ServiceName;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimedAwait;

/**
 * Forwards one request to a plain service. The response is buffered until it is complete, then passed on unchanged. A
 * response that is too long to be buffered, or for which there is no memory, is passed on as it arrives, and is not
 * replaced by that of another target.
 */
final class CallRun {
    private static final Logger LOG = Logger.getLogger(CallRun.class);

    /** Largest response that is buffered; typical ones have a thousand bytes, and many may be buffered at a time. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;
    /** Rounds over all targets while none of them accepts a connection; most such failures are short. */
    private static final int MAX_ROUNDS = 3;

    private static final Duration ROUND_PAUSE = Duration.ofMillis(30);
    /**
     * Response timeout of an idempotent request, in objectives of its route, while there is time left to try another
     * target.
     */
    private static final int RESPONSE_TIMEOUT_OBJECTIVES = 2;
    /** Shortest remaining time in which an attempt can be of use. */
    private static final Duration MIN_REMAINING = Duration.ofMillis(5);

    private static final Duration RETRY_AFTER = Duration.ofMillis(100);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final CallerExchange caller;
    private final Relay relay;
    /** Memory of the responses that are kept. */
    private final BodyMemory.Reservation memory;

    private final Set<TargetId> tried = new HashSet<>();
    private int rounds;
    private int sends;
    private int runs;
    /** Whether a target could not be connected to since the last request to the relay. */
    private boolean unreached;

    private Attempt failure;
    private Buffer failureBody;
    private long sentAt;
    private double inFlightAtSend;
    /** Where to send the request next, chosen while the present target is silent. */
    private Alternative alternative;

    private record Alternative(TargetState state, RetryAllowance.Permit permit) {}

    CallRun(ForwardComponents components, ForwardedRequest request, CallerExchange caller, Relay relay) {
        this.relay = Objects.requireNonNull(relay, "relay");
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.memory = components.responseMemory().open();
    }

    /** Runs the request to its end and returns the outcome that logs and metrics report. */
    String run() {
        try (memory) {
            return sendUntilAnswered();
        } finally {
            if (alternative != null) {
                alternative.permit().cancel();
            }
        }
    }

    private String sendUntilAnswered() {
        while (!caller.isGone()) {
            Duration remaining = request.remaining(components.timer().nanos());
            if (remaining.compareTo(MIN_REMAINING) < 0) {
                return endUnserved(CallerExchange.GATEWAY_TIMEOUT, "deadline");
            }
            Optional<Alternative> chosen = Optional.ofNullable(alternative);
            alternative = null;
            Optional<TargetState> state = chosen.map(Alternative::state)
                    .or(() ->
                            components.chooser().chooseTarget(request.service().name(), tried));
            Optional<String> relayed = tryRelay(state.isPresent());
            if (relayed.isPresent()) {
                return relayed.get();
            }
            if (state.isEmpty() && mayReturnSoon() && sends == 0 && ++rounds < MAX_ROUNDS) {
                tried.clear();
                TimedAwait.sleep(caller.owner(), ROUND_PAUSE);
                continue;
            }
            if (state.isEmpty()) {
                return endUnserved(CallerExchange.BAD_GATEWAY, "no target");
            }
            Optional<RetryAllowance.Permit> permit = chosen.map(Alternative::permit)
                    .or(() -> components
                            .retryAllowance()
                            .tryAcquire(request.service().name(), sends));
            if (permit.isEmpty()) {
                return endUnserved(CallerExchange.BAD_GATEWAY, "no repeat allowed");
            }
            Optional<String> outcome = attempt(state.get(), permit.get(), remaining);
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return "caller left";
    }

    /**
     * Has another instance serve a request that this one could not connect to any target for, or that it has not tried
     * to and knows that it could not.
     *
     * @param hasTarget whether there is a target that was not tried
     * @return the outcome, or empty if no other instance is needed or serves the request
     */
    private Optional<String> tryRelay(boolean hasTarget) {
        boolean needed =
                hasTarget ? components.reachability().isCutOff(request.service().name()) : unreached;
        if (!needed || sends > 0) {
            return Optional.empty();
        }
        unreached = false;
        return relay.tryRelay(request, caller);
    }

    /** Returns whether some target may accept a request within a few rounds. */
    private boolean mayReturnSoon() {
        return !components.directory().isEvacuated(request.service().name())
                && components.gate().pauseLeft(targets()).isZero();
    }

    private List<TargetState> targets() {
        return components.directory().candidates(request.service().name());
    }

    private boolean mayRunAgain() {
        return request.route().retrySafety() == RetrySafety.IDEMPOTENT
                && runs < request.route().maxAttempts()
                && !components.crashDetector().isQuarantined(request.traits());
    }

    /** Sends the request once. Returns the outcome, or empty if another target may be tried. */
    private Optional<String> attempt(TargetState state, RetryAllowance.Permit permit, Duration remaining) {
        tried.add(state.target().id());
        InFlightRequest inFlight = new InFlightRequest(request.id(), request.traits(), state, null, null, () -> {});
        sentAt = components.timer().nanos();
        inFlightAtSend = components.chooser().busyRequests(state);
        try {
            sends++;
            var metadata = new ForwardingMetadata(
                    state.target().id(),
                    remaining,
                    AdmissionRank.NORMAL,
                    request.organisation(),
                    Optional.empty(),
                    Optional.empty());
            Attempt attempt = Attempt.start(
                    components, request, caller, state, metadata, responseTimeout(remaining), caller::onGone);
            try {
                return onResponse(attempt, inFlight);
            } catch (RuntimeException | Error e) {
                // An exchange that nobody reads to its end would keep its connection for good.
                attempt.cancel();
                throw e;
            }
        } catch (StepException e) {
            return onFailure(state, permit, e);
        } finally {
            inFlight.end();
        }
    }

    /** Returns how long to wait for a response; a silent target is given up early only for the sake of another one. */
    private ResponseTimeout responseTimeout(Duration remaining) {
        boolean hasAnotherRun = request.route().retrySafety() == RetrySafety.IDEMPOTENT
                && runs + 1 < request.route().maxAttempts();
        if (!hasAnotherRun) {
            return ResponseTimeout.of(remaining);
        }
        Duration objectiveTimeout = request.route().objective().multipliedBy(RESPONSE_TIMEOUT_OBJECTIVES);
        Duration half = remaining.dividedBy(2);
        Duration early = objectiveTimeout.compareTo(half) < 0 ? objectiveTimeout : half;
        return new ResponseTimeout(early, remaining, this::reserveAlternative);
    }

    /** Chooses another target and acquires a retry there; returns whether that was possible. */
    private boolean reserveAlternative() {
        ServiceName service = request.service().name();
        alternative = components
                .chooser()
                .chooseTarget(service, tried)
                .filter(state -> !state.isSuspended(components.timer().nanos()))
                .flatMap(state -> components
                        .retryAllowance()
                        .tryAcquire(service, sends)
                        .map(permit -> new Alternative(state, permit)))
                .orElse(null);
        return alternative != null;
    }

    private Optional<String> onFailure(TargetState state, RetryAllowance.Permit permit, StepException e) {
        long now = components.timer().nanos();
        Attempt.logFailure(request, state, e);
        if (e.outcome() == Outcome.NOT_RUN) {
            permit.cancel();
        }
        if (caller.isGone()) {
            return Optional.of("caller left");
        }
        if (e.outcome() == Outcome.NOT_RUN) {
            sends--;
            unreached |= e.step() == Step.CONNECT;
            return Optional.empty();
        }
        runs++;
        state.recordOutcome(true, now);
        if (mayRunAgain()) {
            return Optional.empty();
        }
        boolean pastDeadline = request.remaining(now).compareTo(MIN_REMAINING) < 0;
        return Optional.of(
                endUnserved(pastDeadline ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY, "answer lost"));
    }

    private Optional<String> onResponse(Attempt attempt, InFlightRequest inFlight) {
        ResponseHead head = attempt.head();
        TargetState state = attempt.targetState();
        if (attempt.isUntrusted()) {
            attempt.cancel();
            throw new StepException(
                    Step.SEND,
                    state.target().id().value(),
                    Outcome.UNKNOWN,
                    attempt.objection().orElseThrow());
        }
        if (head.isUnconfirmedRefusal() && request.route().retrySafety() != RetrySafety.IDEMPOTENT) {
            return Optional.of(withhold(attempt, inFlight));
        }
        BodyRelay relay = new BodyRelay(components, request, caller, attempt);
        Buffer body = Buffer.buffer();
        if (!buffer(relay, body)) {
            return Optional.of(relay.passOn(body, inFlight));
        }
        long now = components.timer().nanos();
        state.recordOutcome(head.notRun() || head.isServerError(), now);
        if (head.notRun()) {
            attempt.logNotRun(request);
            return Optional.empty();
        }
        runs++;
        if (head.isSuccess() && components.speeds().isEnabled()) {
            components
                    .speeds()
                    .of(request.service().name())
                    .observeCall(state.speed(), inFlightAtSend, state.target().slots(), now - sentAt, now);
        }
        components.crashDetector().onServed(inFlight);
        if (head.isServerError() && mayRunAgain()) {
            failure = attempt;
            failureBody = body;
            return Optional.empty();
        }
        caller.respond(attempt.response(), body);
        return Optional.of(head.isSuccess() ? "served" : "target failed");
    }

    /** Ends a request whose target responded with a refusal, but may have run it; the caller would send it again. */
    private String withhold(Attempt attempt, InFlightRequest inFlight) {
        attempt.cancel();
        runs++;
        attempt.targetState()
                .recordOutcome(
                        attempt.head().isServerError(), components.timer().nanos());
        components.crashDetector().onServed(inFlight);
        components.metrics().countDecision("refusal withheld");
        attempt.logWithheld(request);
        caller.respond(CallerExchange.BAD_GATEWAY);
        return "target failed";
    }

    /** Reads a response to its end, or until it cannot be buffered any longer; returns whether it has ended. */
    private boolean buffer(BodyRelay relay, Buffer body) {
        while (body.length() <= MAX_BUFFERED_BYTES) {
            Optional<Buffer> chunk = relay.next();
            if (chunk.isEmpty()) {
                return true;
            }
            body.appendBuffer(chunk.get());
            if (!memory.add(chunk.get().length())) {
                return false;
            }
        }
        return false;
    }

    /** Ends a request that was not served. The response depends on whether a target may have run the request. */
    private String endUnserved(int status, String reason) {
        LogEvent.of("request.unserved")
                .request(request.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("runs", runs)
                .info(LOG);
        if (failure != null) {
            caller.respond(failure.response(), failureBody);
            return "target failed";
        }
        if (runs == 0) {
            caller.refuse(CallerExchange.UNAVAILABLE, components.gate().retryAfter(targets(), RETRY_AFTER));
            return "refused: " + reason;
        }
        caller.respond(status);
        return "failed: " + reason;
    }
}
