package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;

/**
 * Reads the body of a target's response in the time that its request has left, and passes it on unchanged if asked to.
 * All methods must be called on the context of the request.
 */
final class BodyRelay {
    /** A response that still sends chunks this long after the caller's deadline is treated as endless. */
    private static final Duration MAX_CHUNK_LATENESS = Duration.ofSeconds(1);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final CallerExchange caller;
    private final Attempt attempt;
    private final ResponseBodyReader reader;

    /**
     * Starts to read the body.
     *
     * @param attempt the exchange with the target, of whose response only the head was read
     */
    BodyRelay(ForwardComponents components, ForwardedRequest request, CallerExchange caller, Attempt attempt) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.attempt = Objects.requireNonNull(attempt, "attempt");
        this.reader = new ResponseBodyReader(attempt.response());
    }

    /**
     * Returns the next chunk, or empty at the end of the body.
     *
     * @throws StepException with outcome {@code UNKNOWN} if the body broke off or did not end in time; the exchange is
     *     cancelled
     */
    Optional<Buffer> next() {
        Duration remaining = request.remaining(components.timer().nanos());
        ResponseBodyReader.Item item = reader.next(remaining);
        // An endless body always has another chunk, so late chunks are not accepted. An end that is already queued is
        // accepted even after the deadline.
        if (item instanceof ResponseBodyReader.Piece chunk && remaining.compareTo(MAX_CHUNK_LATENESS.negated()) > 0) {
            return Optional.of(chunk.bytes());
        }
        if (item instanceof ResponseBodyReader.End) {
            return Optional.empty();
        }
        attempt.cancel();
        if (!caller.isGone()) {
            components.crashDetector().onConnectionLost(attempt.targetState());
        }
        String peer = attempt.targetState().target().id().value();
        throw new StepException(Step.SEND, peer, Outcome.UNKNOWN, "answer broke off: " + item);
    }

    /**
     * Passes the response on as it arrives, with its status, end-to-end headers and length. If it breaks off, the
     * caller's connection is closed, so that the caller does not take what it has received for complete.
     *
     * @param received chunks that were read before
     * @param inFlight the request at the target
     * @return the outcome that logs and metrics report
     */
    String passOn(Buffer received, InFlightRequest inFlight) {
        caller.startResponse(attempt.response());
        caller.write(received);
        try {
            Optional<Buffer> chunk = next();
            while (chunk.isPresent() && !caller.isGone()) {
                caller.write(chunk.get());
                chunk = next();
            }
        } catch (StepException e) {
            if (caller.isGone()) {
                return "caller left";
            }
            attempt.targetState().recordOutcome(true, components.timer().nanos());
            Attempt.logFailure(request, attempt.targetState(), e);
            caller.abort();
            return "failed: answer broke off";
        }
        if (caller.isGone()) {
            attempt.cancel();
            return "caller left";
        }
        attempt.targetState()
                .recordOutcome(
                        attempt.head().isServerError(), components.timer().nanos());
        components.crashDetector().onServed(inFlight);
        caller.end();
        return attempt.head().isSuccess() ? "served" : "target failed";
    }
}
