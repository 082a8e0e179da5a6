package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;

/**
 * The life of one generation: whole events are passed on as they arrive. If its engine leaves, dies or falls silent, it
 * goes on from the copy that another engine keeps.
 */
final class StreamRun {
    private static final Logger LOG = Logger.getLogger(StreamRun.class);

    /** Engines that may turn a generation away before it is refused. */
    private static final int MAX_SENDS = 3;
    /** Continuations of one generation; each needs an engine that is lost within its life. */
    private static final int MAX_CONTINUATIONS = 6;
    /** A stream without an event for this many gap targets goes on elsewhere: its engine is dead or far too full. */
    private static final int SILENT_GAPS = 5;
    /** Generations that are expected to make fewer tokens end before a copy of them would be of use. */
    private static final long LEAST_TOKENS_TO_COPY = 100;

    private static final Duration LEAST_TIME = Duration.ofMillis(20);
    private static final Duration RETRY_AFTER = Duration.ofMillis(300);
    /** Gap target of routes that state none. */
    private static final Duration DEFAULT_GAP = Duration.ofMillis(500);

    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final Generation generation;
    private final CallerExchange caller;
    private final Context context;
    private final Set<TargetId> tried = new HashSet<>();
    private final EventSplitter events = new EventSplitter();
    private int sends;
    private int continuations;
    private long eventsPassed;
    private AnswerFeed feed;
    private boolean moveWanted;

    private enum End {
        WHOLE,
        BROKEN,
        MOVE,
        CALLER_LEFT,
        DEADLINE
    }

    StreamRun(ForwardParts parts, ForwardedRequest r, Generation generation, CallerExchange caller, Context context) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Runs the generation to its end and returns its outcome, for logs and metrics. */
    String run() {
        while (!caller.isGone()) {
            if (r.left(parts.timer().nanos()).compareTo(LEAST_TIME) < 0) {
                return refuse("deadline");
            }
            Optional<TargetRow> row = parts.chooser().engine(r.service(), generation, tried);
            if (row.isEmpty()) {
                return refuse("no engine");
            }
            if (sends == 0) {
                parts.repeats().first(r.service().name());
            } else if (sends >= MAX_SENDS
                    || !parts.repeats().tryRepeat(r.service().name())) {
                return refuse("no repeat allowed");
            }
            Optional<String> outcome = start(row.get());
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
        caller.refuse(CallerExchange.UNAVAILABLE, RETRY_AFTER);
        return "refused: " + reason;
    }

    /** Sends the request to an engine; returns the outcome unless the engine has not run it. */
    private Optional<String> start(TargetRow row) {
        tried.add(row.target().id());
        Flight flight = book(row);
        try {
            sends++;
            Attempt attempt = send(flight, Optional.empty());
            if (attempt.head().notRun()) {
                attempt.drop();
                row.answered(true, parts.timer().nanos());
                LogEvent.of("attempt.notRun")
                        .request(r.id())
                        .with("target", row.target().id())
                        .with("status", attempt.head().status())
                        .info(LOG);
                return Optional.empty();
            }
            return Optional.of(deliver(attempt, flight));
        } catch (StepException e) {
            logFailure(row, e);
            if (e.outcome() == Outcome.NOT_RUN) {
                sends--;
                return Optional.empty();
            }
            return Optional.of(caller.isGone() ? "caller left" : continueFrom(flight));
        } finally {
            flight.end();
        }
    }

    private void logFailure(TargetRow row, StepException e) {
        LogEvent.of("attempt.failed")
                .request(r.id())
                .with("target", row.target().id())
                .with("step", e.step())
                .with("outcome", e.outcome())
                .with("reason", e.getMessage())
                .info(LOG);
    }

    private Flight book(TargetRow row) {
        boolean copied =
                r.service().engine().filter(ServiceSpec.EngineTraits::backups).isPresent()
                        && generation.expectedTokens().orElse(generation.maxTokens()) >= LEAST_TOKENS_TO_COPY;
        TargetRow backup =
                copied ? parts.chooser().backup(r.service(), generation, row).orElse(null) : null;
        return new Flight(
                row,
                backup,
                generation.expectedMemory(),
                generation.promptTokens(),
                () -> context.runOnContext(v -> wantMove()));
    }

    private void wantMove() {
        moveWanted = true;
        if (feed != null) {
            feed.signal();
        }
    }

    private Attempt send(Flight flight, Optional<TargetOrder.Continuation> continuation) {
        Duration left = r.left(parts.timer().nanos());
        var order = new TargetOrder(
                flight.row().target().id(),
                left,
                r.organisation(),
                Optional.ofNullable(flight.backup()).map(b -> b.target().address()),
                continuation);
        return Attempt.start(parts, r, caller, flight.row(), order, left);
    }

    /** Passes on the answer of an engine; continues elsewhere if it does not end. */
    private String deliver(Attempt attempt, Flight flight) {
        AnswerHead head = attempt.head();
        if (head.isForeign(r.id())) {
            attempt.drop();
            return fail("answer belongs to another request");
        }
        if (!caller.hasBegun()) {
            caller.begin(attempt.response());
        }
        moveWanted = parts.directory().isLeaving(flight.row());
        End end = relay(attempt, flight);
        feed = null;
        switch (end) {
            case WHOLE -> {
                flight.row().answered(head.isServerError(), parts.timer().nanos());
                caller.end();
                return head.isSuccess() ? "served" : "target failed";
            }
            case CALLER_LEFT -> {
                attempt.drop();
                return "caller left";
            }
            case DEADLINE -> {
                attempt.drop();
                return fail("deadline");
            }
            default -> {
                attempt.drop();
                if (end == End.BROKEN) {
                    flight.row().unreachable(parts.timer().nanos());
                }
                if (!head.isSuccess()) {
                    return fail("answer broke off");
                }
                return continueFrom(flight);
            }
        }
    }

    private End relay(Attempt attempt, Flight flight) {
        feed = new AnswerFeed(attempt.response());
        Duration gap = r.route().gapTarget().orElse(DEFAULT_GAP);
        Duration silence = gap.multipliedBy(SILENT_GAPS);
        while (true) {
            if (caller.isGone()) {
                return End.CALLER_LEFT;
            }
            if (moveWanted && flight.backup() != null) {
                moveWanted = false;
                if (isUsable(flight.backup())) {
                    return End.MOVE;
                }
            }
            Duration left = r.left(parts.timer().nanos());
            if (left.isNegative()) {
                return End.DEADLINE;
            }
            boolean mayMove = eventsPassed > 0 && flight.backup() != null;
            AnswerFeed.Item item = feed.next(mayMove && silence.compareTo(left) < 0 ? silence : left);
            switch (item) {
                case AnswerFeed.Piece piece -> pass(piece.bytes(), flight);
                case AnswerFeed.End e -> {
                    return events.hasRest() ? End.BROKEN : End.WHOLE;
                }
                case AnswerFeed.Broken b -> {
                    logBreak(flight, b.reason());
                    return End.BROKEN;
                }
                case AnswerFeed.Silent s -> {
                    if (mayMove && isUsable(flight.backup())) {
                        logBreak(flight, "silent");
                        return End.BROKEN;
                    }
                }
                case AnswerFeed.Signal s -> LOG.debugf("stream: %s was signalled", r.id());
            }
        }
    }

    private boolean isUsable(TargetRow row) {
        return !parts.directory().isLeaving(row)
                && !row.isSuspended(parts.timer().nanos());
    }

    private void logBreak(Flight flight, String reason) {
        LogEvent.of("stream.broken")
                .request(r.id())
                .with("target", flight.row().target().id())
                .with("reason", reason)
                .with("pieces", eventsPassed)
                .info(LOG);
    }

    private void pass(Buffer bytes, Flight flight) {
        Buffer whole = events.take(bytes);
        if (whole.length() > 0) {
            flight.firstEvent();
            eventsPassed++;
            caller.write(whole);
        }
    }

    /** Goes on at the engine that keeps the copy of a generation whose engine is lost. */
    private String continueFrom(Flight lost) {
        events.dropRest();
        TargetRow holder = lost.backup();
        boolean possible = holder != null && continuations < MAX_CONTINUATIONS && !caller.isGone();
        if (!possible) {
            return fail("engine lost");
        }
        continuations++;
        parts.metrics().count("continued");
        Flight flight = book(holder);
        try {
            var continuation = new TargetOrder.Continuation(holder.target().address(), r.id(), events.lastId());
            Attempt attempt = send(flight, Optional.of(continuation));
            if (attempt.head().notRun() || !attempt.head().isSuccess()) {
                attempt.drop();
                LogEvent.of("stream.copyMissing")
                        .request(r.id())
                        .with("target", holder.target().id())
                        .with("status", attempt.head().status())
                        .info(LOG);
                return fail("copy missing");
            }
            LogEvent.of("stream.continued")
                    .request(r.id())
                    .with("from", lost.row().target().id())
                    .with("target", holder.target().id())
                    .with("lastEvent", events.lastId().orElse(""))
                    .info(LOG);
            return deliver(attempt, flight);
        } catch (StepException e) {
            logFailure(holder, e);
            return fail("copy unreachable");
        } finally {
            flight.end();
        }
    }

    /** Ends a generation that cannot go on; what the caller has got must not look whole. */
    private String fail(String reason) {
        LogEvent.of("request.unserved")
                .request(r.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("pieces", eventsPassed)
                .info(LOG);
        if (caller.hasBegun()) {
            caller.abort();
        } else {
            caller.answer("deadline".equals(reason) ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY);
        }
        return "failed: " + reason;
    }
}
