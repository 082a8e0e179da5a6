package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimedAwait;

/**
 * The life of one request to a plain service: its answer is held until it is whole, then passed on unchanged. An answer
 * that is too long to be held is passed on as it arrives, and is not replaced by that of another target.
 */
final class CallRun {
    private static final Logger LOG = Logger.getLogger(CallRun.class);

    /** Largest answer that is held; usual ones have a thousand bytes, and many may be held at a time. */
    private static final int MAX_HELD_BYTES = 256 << 10;
    /** Rounds over all targets while none of them can be connected to; most such failures are short. */
    private static final int MAX_ROUNDS = 3;

    private static final Duration ROUND_PAUSE = Duration.ofMillis(30);
    /** A repeatable request leaves a silent target after this many objectives, while time for another is left. */
    private static final int PATIENCE_OBJECTIVES = 2;
    /** Time that an attempt needs at least to be of use. */
    private static final Duration LEAST_TIME = Duration.ofMillis(5);

    /** An answer that goes on for this long after its caller's time has no end. */
    private static final Duration LATEST_PIECE = Duration.ofSeconds(1);

    private static final Duration RETRY_AFTER = Duration.ofMillis(100);

    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final CallerExchange caller;
    private final Set<TargetId> tried = new HashSet<>();
    private int rounds;
    private int sends;
    private int runs;
    private Attempt failure;
    private Buffer failureBody;

    CallRun(ForwardParts parts, ForwardedRequest r, CallerExchange caller) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.caller = Objects.requireNonNull(caller, "caller");
    }

    /** Runs the request to its end and returns its outcome, for logs and metrics. */
    String run() {
        while (!caller.isGone()) {
            Duration left = r.left(parts.timer().nanos());
            if (left.compareTo(LEAST_TIME) < 0) {
                return finish(CallerExchange.GATEWAY_TIMEOUT, "deadline");
            }
            Optional<TargetRow> row = parts.chooser().service(r.service().name(), tried);
            if (row.isEmpty() && sends == 0 && ++rounds < MAX_ROUNDS) {
                tried.clear();
                TimedAwait.pause(caller.owner(), ROUND_PAUSE);
                continue;
            }
            if (row.isEmpty()) {
                return finish(CallerExchange.BAD_GATEWAY, "no target");
            }
            if (!parts.repeats().maySend(r.service().name(), sends)) {
                return finish(CallerExchange.BAD_GATEWAY, "no repeat allowed");
            }
            Optional<String> outcome = attempt(row.get(), left);
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return "caller left";
    }

    private boolean mayRunAgain() {
        return r.route().repetition() == Repetition.IDEMPOTENT
                && runs < r.route().maxAttempts();
    }

    /** Sends the request once; returns the outcome if that decides it. */
    private Optional<String> attempt(TargetRow row, Duration left) {
        tried.add(row.target().id());
        Flight flight = new Flight(r.id(), r.fingerprint(), row, null, null, () -> {});
        try {
            sends++;
            var order = new TargetOrder(
                    row.target().id(), left, Urgency.NORMAL, r.organisation(), Optional.empty(), Optional.empty());
            Attempt attempt = Attempt.start(parts, r, caller, row, order, patience(left));
            return answered(attempt);
        } catch (StepException e) {
            return lost(row, e);
        } finally {
            flight.end();
        }
    }

    private Duration patience(Duration left) {
        boolean another = r.route().repetition() == Repetition.IDEMPOTENT
                && runs + 1 < r.route().maxAttempts();
        if (!another) {
            return left;
        }
        Duration enough = r.route().objective().multipliedBy(PATIENCE_OBJECTIVES);
        Duration half = left.dividedBy(2);
        return enough.compareTo(half) < 0 ? enough : half;
    }

    private Optional<String> lost(TargetRow row, StepException e) {
        long now = parts.timer().nanos();
        Attempt.logFailure(r, row, e);
        if (caller.isGone()) {
            return Optional.of("caller left");
        }
        if (e.outcome() == Outcome.NOT_RUN) {
            sends--;
            return Optional.empty();
        }
        runs++;
        row.answered(true, now);
        if (mayRunAgain()) {
            return Optional.empty();
        }
        boolean late = r.left(now).compareTo(LEAST_TIME) < 0;
        return Optional.of(finish(late ? CallerExchange.GATEWAY_TIMEOUT : CallerExchange.BAD_GATEWAY, "answer lost"));
    }

    private Optional<String> answered(Attempt attempt) {
        AnswerHead head = attempt.head();
        TargetRow row = attempt.row();
        if (head.isForeign(r.id())) {
            attempt.drop();
            throw new StepException(
                    Step.SEND, row.target().id().value(), Outcome.UNKNOWN, "answer belongs to another request");
        }
        AnswerFeed feed = new AnswerFeed(attempt.response());
        Buffer body = Buffer.buffer();
        if (!hold(attempt, feed, body)) {
            return Optional.of(passOn(attempt, feed, body));
        }
        long now = parts.timer().nanos();
        row.answered(head.notRun() || head.isServerError(), now);
        if (head.notRun()) {
            attempt.logNotRun(r);
            return Optional.empty();
        }
        runs++;
        parts.crashes().answered(r);
        if (head.isServerError() && mayRunAgain()) {
            failure = attempt;
            failureBody = body;
            return Optional.empty();
        }
        caller.answer(attempt.response(), body);
        return Optional.of(head.isSuccess() ? "served" : "target failed");
    }

    /** Reads an answer to its end, or to the most that is held; returns whether it has ended. */
    private boolean hold(Attempt attempt, AnswerFeed feed, Buffer body) {
        while (body.length() <= MAX_HELD_BYTES) {
            Optional<Buffer> piece = next(attempt, feed);
            if (piece.isEmpty()) {
                return true;
            }
            body.appendBuffer(piece.get());
        }
        return false;
    }

    /** Returns the next piece of an answer, or empty at its end. */
    private Optional<Buffer> next(Attempt attempt, AnswerFeed feed) {
        Duration left = r.left(parts.timer().nanos());
        AnswerFeed.Item item = feed.next(left);
        // A body without end always has a next piece; an end that waits already is delivered, also late.
        if (item instanceof AnswerFeed.Piece piece && left.compareTo(LATEST_PIECE.negated()) > 0) {
            return Optional.of(piece.bytes());
        }
        if (item instanceof AnswerFeed.End && !parts.client().isDoubtful(attempt.response())) {
            return Optional.empty();
        }
        attempt.drop();
        parts.crashes().connectionBroke(attempt.row());
        String peer = attempt.row().target().id().value();
        throw new StepException(Step.SEND, peer, Outcome.UNKNOWN, "answer broke off: " + item);
    }

    /** Passes on an answer that is too long to be held. What the caller has got of one that breaks off is not whole. */
    private String passOn(Attempt attempt, AnswerFeed feed, Buffer begun) {
        caller.beginWhole(attempt.response());
        caller.write(begun);
        try {
            Optional<Buffer> piece = next(attempt, feed);
            while (piece.isPresent() && !caller.isGone()) {
                caller.write(piece.get());
                piece = next(attempt, feed);
            }
        } catch (StepException e) {
            Attempt.logFailure(r, attempt.row(), e);
            caller.abort();
            return "failed: answer broke off";
        }
        if (caller.isGone()) {
            attempt.drop();
            return "caller left";
        }
        attempt.row().answered(attempt.head().isServerError(), parts.timer().nanos());
        parts.crashes().answered(r);
        caller.end();
        return attempt.head().isSuccess() ? "served" : "target failed";
    }

    /** Ends a request that was not served: what is answered depends on whether a target may have run it. */
    private String finish(int status, String reason) {
        LogEvent.of("request.unserved")
                .request(r.id())
                .with("reason", reason)
                .with("sends", sends)
                .with("runs", runs)
                .info(LOG);
        if (failure != null) {
            caller.answer(failure.response(), failureBody);
            return "target failed";
        }
        if (runs == 0) {
            caller.refuse(CallerExchange.UNAVAILABLE, RETRY_AFTER);
            return "refused: " + reason;
        }
        caller.answer(status);
        return "failed: " + reason;
    }
}
