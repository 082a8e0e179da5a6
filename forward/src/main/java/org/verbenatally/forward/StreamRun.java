package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;

/**
 * Forwards one generation. Complete events are passed to the caller as they arrive. If the engine leaves, dies or stops
 * sending events, the generation continues from a copy at another engine. An engine that may still run the generation
 * keeps it until another one has accepted it.
 */
final class StreamRun {
    private static final Logger LOG = Logger.getLogger(StreamRun.class);

    private static final Duration MIN_REMAINING = Duration.ofMillis(20);
    /** Event gap objective of routes that do not configure one. */
    private static final Duration DEFAULT_EVENT_GAP_OBJECTIVE = Duration.ofMillis(500);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final Generation generation;
    private final CallerExchange caller;
    private final Relay relay;
    private final Context context;
    private final EngineAdmission admission;
    private final StreamMigration migration;
    private final StreamSender sender;
    private final RunStopper stopper;
    private final StreamContinuation continuation;
    private final SilenceMonitor silence;
    private final Set<TargetId> tried = new HashSet<>();
    private final EventSplitter events;
    private AdmissionRank rank = AdmissionRank.NORMAL;
    private int sends;
    /** Whether an engine could not be connected to since the last request to the relay. */
    private boolean unreached;

    private long sentNanos;
    private long chunksForwarded;
    private long firstChunkNanos;
    private long lastChunkNanos;
    private long longestGapNanos;
    private StreamSegment segment;
    /** Measures the present segment. */
    private StreamTiming timing;
    /** Why the segment was found to be silent. */
    private SilenceMonitor.Verdict silenceVerdict;

    private enum End {
        COMPLETE,
        BROKEN,
        SILENT,
        LEAVING,
        CALLER_LEFT,
        DEADLINE
    }

    StreamRun(
            ForwardComponents components,
            ForwardedRequest request,
            Generation generation,
            CallerExchange caller,
            Relay relay,
            Context context) {
        this.relay = Objects.requireNonNull(relay, "relay");
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.context = Objects.requireNonNull(context, "context");
        this.events = new EventSplitter(components.responseMemory());
        this.admission = new EngineAdmission(components);
        this.migration = new StreamMigration(components, request, generation, context);
        this.sender = new StreamSender(
                components, request, generation, caller, () -> context.runOnContext(v -> signalReader()));
        this.stopper = new RunStopper(components, request, generation, context);
        this.continuation = new StreamContinuation(components, request, caller, events, sender, migration, stopper);
        this.silence = new SilenceMonitor(
                components.timer(),
                components.probe()::checkShared,
                request.route().eventGapObjective().orElse(DEFAULT_EVENT_GAP_OBJECTIVE),
                () -> context.runOnContext(v -> signalReader()));
    }

    /** Runs the generation to its end and returns the outcome that logs and metrics report. */
    String run() {
        long start = components.timer().nanos();
        String outcome;
        try {
            admission.onArrival(request, generation);
            outcome = admitAndForward();
        } finally {
            if (segment != null) {
                segment.close(false);
            }
            migration.reset();
            events.close();
        }
        LogEvent.of("stream.ended")
                .request(request.id())
                .with("firstMs", chunksForwarded == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(firstChunkNanos - start))
                .with("longestGapMs", TimeUnit.NANOSECONDS.toMillis(longestGapNanos))
                .with("events", events.count())
                .with("admission", rank)
                .with("continuations", continuation.count())
                .info(LOG);
        return outcome;
    }

    private String admitAndForward() {
        while (!caller.isGone()) {
            if (request.remaining(components.timer().nanos()).compareTo(MIN_REMAINING) < 0) {
                return refuse("deadline");
            }
            boolean cutOff =
                    components.reachability().isCutOff(request.service().name());
            Optional<String> relayed = cutOff ? tryRelay() : Optional.empty();
            if (relayed.isPresent()) {
                return relayed.get();
            }
            EngineAdmission.Decision decision = admission.await(request, generation, caller, tried);
            if (caller.isGone()) {
                return "caller left";
            }
            if (decision instanceof EngineAdmission.Refused refused) {
                return (unreached ? tryRelay() : Optional.<String>empty()).orElseGet(() -> refuse(refused.reason()));
            }
            var admitted = (EngineAdmission.Admitted) decision;
            Optional<RetryAllowance.Permit> permit =
                    components.retryAllowance().tryAcquire(request.service().name(), sends);
            if (permit.isEmpty()) {
                return refuse("no repeat allowed");
            }
            rank = admitted.rank();
            Optional<String> outcome = sendTo(admitted.targetState(), permit.get());
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return "caller left";
    }

    /** Has another instance run the generation if no engine has been sent it; empty if none does. */
    private Optional<String> tryRelay() {
        unreached = false;
        return sends == 0 ? relay.tryRelay(request, caller) : Optional.empty();
    }

    private String refuse(String reason) {
        LogEvent.of("request.unserved")
                .request(request.id())
                .with("reason", reason)
                .with("rank", request.rank().rank())
                .with("queueRank", request.queueRank())
                .with("waiting", components.waitQueue().size())
                .with("sends", sends)
                .info(LOG);
        Duration delay = components
                .waitQueue()
                .retryAfter(
                        request.service().name(),
                        request.rank(),
                        request.queueRank(),
                        request.remaining(components.timer().nanos()));
        caller.refuse(
                CallerExchange.UNAVAILABLE,
                components
                        .gate()
                        .retryAfter(
                                components
                                        .directory()
                                        .candidates(request.service().name()),
                                delay));
        return "refused: " + reason;
    }

    /**
     * Sends the request to an engine and forwards its response. Returns the outcome, or empty if the engine has not run
     * the request.
     */
    private Optional<String> sendTo(TargetState state, RetryAllowance.Permit permit) {
        tried.add(state.target().id());
        InFlightRequest inFlight = sender.reserve(state);
        try {
            sends++;
            long now = components.timer().nanos();
            sentNanos = now;
            // Filling work yields to others at the engine, so that its first event tells nothing about the speed.
            timing = rank == AdmissionRank.NORMAL
                    ? StreamTiming.fromSend(components.speeds(), state, now)
                    : StreamTiming.ofIntervals(components.speeds(), state, now);
            Attempt attempt = sender.send(
                    inFlight,
                    rank,
                    Optional.empty(),
                    request.remaining(components.timer().nanos()),
                    caller::onGone);
            // A refusal that belongs to another request says nothing about this one, which may be running.
            if (attempt.isUntrusted()) {
                attempt.cancel();
                inFlight.end();
                return Optional.of(fail("response distrusted"));
            }
            if (attempt.head().notRun()) {
                attempt.discard();
                inFlight.end();
                state.recordOutcome(true, components.timer().nanos());
                attempt.logNotRun(request);
                return Optional.empty();
            }
            if (attempt.head().isUnconfirmedRefusal()) {
                return Optional.of(withhold(attempt, inFlight));
            }
            if (!attempt.head().isSuccess()) {
                return Optional.of(passOnFailure(attempt, inFlight));
            }
            segment = new StreamSegment(inFlight, attempt);
            silence.onProgress();
        } catch (StepException e) {
            Attempt.logFailure(request, state, e);
            inFlight.end();
            if (e.outcome() == Outcome.NOT_RUN) {
                permit.cancel();
                sends--;
                unreached |= e.step() == Step.CONNECT;
                return Optional.empty();
            }
            if (caller.isGone()) {
                return Optional.of("caller left");
            }
            Optional<StreamSegment> next = continuation.recover(inFlight);
            if (next.isEmpty()) {
                return Optional.of(fail("engine lost"));
            }
            continueWith(next.get());
        } catch (RuntimeException | Error e) {
            inFlight.end();
            throw e;
        }
        caller.startChunked(segment.attempt().response());
        return Optional.of(forwardSegments());
    }

    /** Ends a generation whose engine responded with a refusal, but may have run it. */
    private String withhold(Attempt attempt, InFlightRequest inFlight) {
        attempt.cancel();
        inFlight.end();
        attempt.targetState().recordOutcome(true, components.timer().nanos());
        components.metrics().countDecision("refusal withheld");
        attempt.logWithheld(request);
        caller.respond(CallerExchange.BAD_GATEWAY);
        return "target failed";
    }

    /** Passes on the response of an engine that failed, which is no event stream. */
    private String passOnFailure(Attempt attempt, InFlightRequest inFlight) {
        try {
            return new BodyRelay(components, request, caller, attempt).passOn(Buffer.buffer(), inFlight);
        } finally {
            inFlight.end();
        }
    }

    private void signalReader() {
        if (segment != null) {
            segment.reader().signal();
        }
    }

    /** Forwards the events of one engine after the other until the generation ends, and returns the outcome. */
    private String forwardSegments() {
        while (true) {
            End end = forwardSegment();
            switch (end) {
                case COMPLETE -> {
                    segment.targetState()
                            .recordOutcome(false, components.timer().nanos());
                    components.crashDetector().onServed(segment.inFlight());
                    segment.close(true);
                    segment = null;
                    admission.onEnd(
                            request,
                            generation,
                            Duration.ofNanos(components.timer().nanos() - sentNanos));
                    caller.end();
                    return "served";
                }
                case CALLER_LEFT -> {
                    segment.close(false);
                    return "caller left";
                }
                case DEADLINE -> {
                    segment.close(false);
                    return fail("deadline");
                }
                case SILENT -> replaceSegment(continuation.continueFromSilent(segment, silenceVerdict));
                case LEAVING -> replaceSegment(continuation.continueFromLeaving(segment));
                case BROKEN -> {
                    segment.targetState().onUnreachable(components.timer().nanos());
                    components.crashDetector().onConnectionLost(segment.targetState());
                    segment.close(false);
                    Optional<StreamSegment> next = continuation.recover(segment);
                    if (next.isEmpty()) {
                        return fail("engine lost");
                    }
                    continueWith(next.get());
                }
                default -> throw new IllegalStateException("unexpected end " + end);
            }
        }
    }

    /** Continues with the response of another engine; without one, the present engine keeps the generation. */
    private void replaceSegment(Optional<StreamSegment> next) {
        if (next.isPresent()) {
            segment.close(false);
            stopper.stop(segment.targetState(), next.get().targetState());
            continueWith(next.get());
        } else {
            // The attempt to continue has replaced the action that cancels the present exchange.
            caller.onGone(segment.attempt()::cancel);
        }
    }

    /** Continues with the response of another engine. */
    private void continueWith(StreamSegment next) {
        segment = next;
        timing = StreamTiming.ofIntervals(
                components.speeds(), next.targetState(), components.timer().nanos());
        silence.onProgress();
    }

    private End forwardSegment() {
        while (true) {
            if (caller.isGone()) {
                return End.CALLER_LEFT;
            }
            if (components.directory().mustMove(segment.targetState(), segment.inFlight())
                    && continuation.prepareToLeave(segment)) {
                return End.LEAVING;
            }
            Duration remaining = request.remaining(components.timer().nanos());
            if (remaining.isNegative()) {
                return End.DEADLINE;
            }
            boolean hasBackup = chunksForwarded > 0 && continuation.hasBackup(segment.inFlight());
            if (hasBackup && segment.reader().isEmpty() && isSilent()) {
                return End.SILENT;
            }
            Duration untilVerdict = hasBackup ? silence.untilNextVerdict() : remaining;
            ResponseBodyReader.Item item =
                    segment.reader().next(untilVerdict.compareTo(remaining) < 0 ? untilVerdict : remaining);
            switch (item) {
                case ResponseBodyReader.Piece chunk -> {
                    try {
                        forward(chunk.bytes());
                    } catch (EventSplitter.EventTooLongException e) {
                        logBroken(e.getMessage());
                        return End.BROKEN;
                    }
                }
                case ResponseBodyReader.End e -> {
                    if (!events.hasIncompleteEvent()) {
                        return End.COMPLETE;
                    }
                    logBroken("ended within an event");
                    return End.BROKEN;
                }
                case ResponseBodyReader.Broken broken -> {
                    if (caller.isGone()) {
                        return End.CALLER_LEFT;
                    }
                    logBroken(broken.reason());
                    return End.BROKEN;
                }
                case ResponseBodyReader.Silent s ->
                    LOG.debugf("stream: no data for request %s within the wait", request.id());
                case ResponseBodyReader.Signal s ->
                    LOG.debugf("stream: wait of request %s was interrupted", request.id());
            }
        }
    }

    /** Returns whether the engine has been silent for too long, and the generation may continue elsewhere now. */
    private boolean isSilent() {
        TargetState state = segment.targetState();
        silenceVerdict = silence.verdict(state.target());
        if (silenceVerdict == SilenceMonitor.Verdict.SERVING || !continuation.hasUsableBackup(segment.inFlight())) {
            return false;
        }
        LogEvent.of("stream.silent")
                .request(request.id())
                .with("target", state.target().id())
                .with("verdict", silenceVerdict)
                .with("ms", silence.silence().toMillis())
                .with("pieces", chunksForwarded)
                .info(LOG);
        if (silenceVerdict != SilenceMonitor.Verdict.STALLED) {
            state.onUnreachable(components.timer().nanos());
            components.crashDetector().onConnectionLost(state);
        }
        return true;
    }

    private void logBroken(String reason) {
        LogEvent.of("stream.broken")
                .request(request.id())
                .with("target", segment.targetState().target().id())
                .with("reason", reason)
                .with("pieces", chunksForwarded)
                .info(LOG);
    }

    private void forward(Buffer bytes) throws EventSplitter.EventTooLongException {
        long eventsBefore = events.count();
        Buffer complete = events.append(bytes);
        if (complete.length() > 0) {
            long now = components.timer().nanos();
            longestGapNanos = chunksForwarded == 0 ? 0 : Math.max(longestGapNanos, now - lastChunkNanos);
            firstChunkNanos = chunksForwarded == 0 ? now : firstChunkNanos;
            lastChunkNanos = now;
            chunksForwarded++;
            InFlightRequest inFlight = segment.inFlight();
            inFlight.setGenerated(
                    events.count() * request.service().engine().orElseThrow().tokensPerEvent(), now);
            if (!inFlight.isBegun() && components.crashDetector().hasBegun(inFlight)) {
                inFlight.setBegun();
                components.crashDetector().onServed(inFlight);
            }
            segment.targetState().onContact(now);
            timing.onEvents(events.count() - eventsBefore, now);
            caller.write(complete);
            timing.onWritten(now, components.timer().nanos());
            // Bytes without a complete event are no progress; the time that a slow caller takes to read is no silence.
            silence.onProgress();
        }
    }

    /**
     * Ends a generation that cannot continue. A response that has started is aborted, so that the caller does not take
     * it for complete.
     */
    private String fail(String reason) {
        LogEvent.of("request.unserved")
                .request(request.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("pieces", chunksForwarded)
                .info(LOG);
        if (caller.isStarted()) {
            caller.abort();
        } else {
            caller.respond("deadline".equals(reason) ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY);
        }
        return "failed: " + reason;
    }
}
