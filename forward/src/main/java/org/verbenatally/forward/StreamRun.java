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
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;

/**
 * The life of one generation: whole events are passed on as they arrive. If its engine leaves, dies or falls silent, it
 * goes on from a copy at another engine.
 */
final class StreamRun {
    private static final Logger LOG = Logger.getLogger(StreamRun.class);

    /** A stream without an event for this many gap targets goes on elsewhere: its engine is dead or far too full. */
    private static final int SILENT_GAPS = 5;

    private static final Duration LEAST_TIME = Duration.ofMillis(20);
    /** Gap target of routes that state none. */
    private static final Duration DEFAULT_GAP = Duration.ofMillis(500);

    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final Generation generation;
    private final CallerExchange caller;
    private final Context context;
    private final EngineAdmission admission;
    private final StreamMover mover;
    private final StreamSender sender;
    private final StreamContinuation continuation;
    private final Set<TargetId> tried = new HashSet<>();
    private final EventSplitter events = new EventSplitter();
    private Urgency urgency = Urgency.NORMAL;
    private int sends;
    private long piecesPassed;
    private long firstPieceNanos;
    private long lastPieceNanos;
    /** When the engine began, or sent its last whole event. */
    private long progressNanos;

    private long longestGapNanos;
    private StreamLeg leg;

    private enum End {
        WHOLE,
        BROKEN,
        LEAVING,
        CALLER_LEFT,
        DEADLINE
    }

    StreamRun(ForwardParts parts, ForwardedRequest r, Generation generation, CallerExchange caller, Context context) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.context = Objects.requireNonNull(context, "context");
        this.admission = new EngineAdmission(parts);
        this.mover = new StreamMover(parts, r, generation, context);
        this.sender = new StreamSender(parts, r, generation, caller, () -> context.runOnContext(v -> wake()));
        this.continuation = new StreamContinuation(parts, r, caller, events, sender, mover);
    }

    /** Runs the generation to its end and returns its outcome, for logs and metrics. */
    String run() {
        long start = parts.timer().nanos();
        String outcome;
        try {
            outcome = serve();
        } finally {
            if (leg != null) {
                leg.close(false);
            }
            mover.reset();
        }
        LogEvent.of("stream.ended")
                .request(r.id())
                .with("firstMs", piecesPassed == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(firstPieceNanos - start))
                .with("longestGapMs", TimeUnit.NANOSECONDS.toMillis(longestGapNanos))
                .with("events", events.count())
                .with("continuations", continuation.count())
                .info(LOG);
        return outcome;
    }

    private String serve() {
        while (!caller.isGone()) {
            if (r.left(parts.timer().nanos()).compareTo(LEAST_TIME) < 0) {
                return refuse("deadline");
            }
            Optional<EngineAdmission.Admitted> admitted = admission.await(r, generation, caller, tried);
            if (caller.isGone()) {
                return "caller left";
            }
            if (admitted.isEmpty()) {
                return refuse("no engine with room");
            }
            if (!parts.repeats().maySend(r.service().name(), sends)) {
                return refuse("no repeat allowed");
            }
            urgency = admitted.get().urgency();
            Optional<String> outcome = start(admitted.get().row());
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return "caller left";
    }

    private String refuse(String reason) {
        LogEvent.of("request.unserved")
                .request(r.id())
                .with("reason", reason)
                .with("sends", sends)
                .info(LOG);
        caller.refuse(
                CallerExchange.UNAVAILABLE,
                EngineAdmission.comeBackAfter(r.left(parts.timer().nanos())));
        return "refused: " + reason;
    }

    /** Sends the request to an engine; returns the outcome unless the engine has not run it. */
    private Optional<String> start(TargetRow row) {
        tried.add(row.target().id());
        Flight flight = sender.book(row);
        try {
            sends++;
            Attempt attempt = sender.send(
                    flight, urgency, Optional.empty(), r.left(parts.timer().nanos()));
            // A refusal of another request says nothing of this one, which may be at work.
            if (attempt.head().isForeign(r.id())) {
                attempt.drop();
                flight.end();
                return Optional.of(fail("answer belongs to another request"));
            }
            if (attempt.head().notRun()) {
                attempt.drop();
                flight.end();
                row.answered(true, parts.timer().nanos());
                attempt.logNotRun(r);
                return Optional.empty();
            }
            goOn(new StreamLeg(flight, attempt));
        } catch (StepException e) {
            Attempt.logFailure(r, row, e);
            flight.end();
            if (e.outcome() == Outcome.NOT_RUN) {
                sends--;
                return Optional.empty();
            }
            if (caller.isGone()) {
                return Optional.of("caller left");
            }
            Optional<StreamLeg> next = continuation.recover(flight);
            if (next.isEmpty()) {
                return Optional.of(fail("engine lost"));
            }
            goOn(next.get());
        }
        caller.begin(leg.attempt().response());
        return Optional.of(deliver());
    }

    private void wake() {
        if (leg != null) {
            leg.feed().signal();
        }
    }

    /** Passes on the events of one engine after the other until the generation ends. */
    private String deliver() {
        while (true) {
            End end = relay();
            switch (end) {
                case WHOLE -> {
                    AnswerHead head = leg.attempt().head();
                    leg.row().answered(head.isServerError(), parts.timer().nanos());
                    parts.crashes().answered(r);
                    leg.close(true);
                    leg = null;
                    caller.end();
                    return head.isSuccess() ? "served" : "target failed";
                }
                case CALLER_LEFT -> {
                    leg.close(false);
                    return "caller left";
                }
                case DEADLINE -> {
                    leg.close(false);
                    return fail("deadline");
                }
                case LEAVING ->
                    continuation.leave(leg).ifPresent(next -> {
                        leg.close(false);
                        goOn(next);
                    });
                case BROKEN -> {
                    leg.row().unreachable(parts.timer().nanos());
                    parts.crashes().connectionBroke(leg.row());
                    leg.close(false);
                    Optional<StreamLeg> next =
                            leg.attempt().head().isSuccess() ? continuation.recover(leg) : Optional.empty();
                    if (next.isEmpty()) {
                        return fail("engine lost");
                    }
                    goOn(next.get());
                }
                default -> throw new IllegalStateException("unexpected end " + end);
            }
        }
    }

    /** Goes on with the answer of another engine. */
    private void goOn(StreamLeg next) {
        leg = next;
        progressNanos = parts.timer().nanos();
    }

    private End relay() {
        Duration gap = r.route().gapTarget().orElse(DEFAULT_GAP);
        long silence = gap.multipliedBy(SILENT_GAPS).toNanos();
        while (true) {
            if (caller.isGone()) {
                return End.CALLER_LEFT;
            }
            if (parts.directory().isLeaving(leg.row()) && continuation.mayLeave(leg)) {
                return End.LEAVING;
            }
            Duration left = r.left(parts.timer().nanos());
            if (left.isNegative()) {
                return End.DEADLINE;
            }
            boolean watched = piecesPassed > 0 && continuation.hasStandingCopy(leg.flight());
            Duration quiet =
                    Duration.ofNanos(Math.max(0, silence - (parts.timer().nanos() - progressNanos)));
            AnswerFeed.Item item = leg.feed().next(watched && quiet.compareTo(left) < 0 ? quiet : left);
            switch (item) {
                case AnswerFeed.Piece piece -> {
                    try {
                        pass(piece.bytes());
                    } catch (EventSplitter.EndlessEventException e) {
                        logBreak(e.getMessage());
                        return End.BROKEN;
                    }
                }
                case AnswerFeed.End e -> {
                    if (!events.hasRest()
                            && !parts.client().isDoubtful(leg.attempt().response())) {
                        return End.WHOLE;
                    }
                    logBreak("ended within an event");
                    return End.BROKEN;
                }
                case AnswerFeed.Broken b -> {
                    if (caller.isGone()) {
                        return End.CALLER_LEFT;
                    }
                    logBreak(b.reason());
                    return End.BROKEN;
                }
                case AnswerFeed.Silent s -> LOG.debugf("stream: %s is silent", r.id());
                case AnswerFeed.Signal s -> LOG.debugf("stream: %s was signalled", r.id());
            }
            // Bytes that make no whole event do not show that the engine is at work.
            if (watched && parts.timer().nanos() - progressNanos >= silence) {
                logBreak("silent");
                return End.BROKEN;
            }
        }
    }

    private void logBreak(String reason) {
        LogEvent.of("stream.broken")
                .request(r.id())
                .with("target", leg.row().target().id())
                .with("reason", reason)
                .with("pieces", piecesPassed)
                .info(LOG);
    }

    private void pass(Buffer bytes) throws EventSplitter.EndlessEventException {
        Buffer whole = events.take(bytes);
        if (whole.length() > 0) {
            long now = parts.timer().nanos();
            longestGapNanos = piecesPassed == 0 ? 0 : Math.max(longestGapNanos, now - lastPieceNanos);
            firstPieceNanos = piecesPassed == 0 ? now : firstPieceNanos;
            lastPieceNanos = now;
            piecesPassed++;
            leg.flight()
                    .made(events.count() * r.service().engine().orElseThrow().tokensPerEvent());
            caller.write(whole);
            // Time that a slow caller took is not the engine's.
            progressNanos = parts.timer().nanos();
        }
    }

    /** Ends a generation that cannot go on; what the caller has got must not look whole. */
    private String fail(String reason) {
        LogEvent.of("request.unserved")
                .request(r.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("pieces", piecesPassed)
                .info(LOG);
        if (caller.hasBegun()) {
            caller.abort();
        } else {
            caller.answer("deadline".equals(reason) ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY);
        }
        return "failed: " + reason;
    }
}
