package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimedAwait;

/**
 * Copies a generation from an engine that is about to leave to another one while it runs, for generations of which no
 * copy is kept. All methods must be called on the context of the request.
 */
final class StreamMover {
    private static final Logger LOG = Logger.getLogger(StreamMover.class);
    /** A leaving engine copies one generation after another, a few tenths of a second each. */
    private static final Duration COPY_TIMEOUT = Duration.ofSeconds(3);

    /** Room comes with the end of another generation; an engine about to leave has a second or two. */
    private static final Duration NEXT_TRY = Duration.ofMillis(100);

    private static final int MAX_ANSWER_BYTES = 65_536;

    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final Generation generation;
    private final Context context;
    private TargetRow destination;
    private String copy;
    private boolean busy;
    private final Set<TargetId> full = new HashSet<>();
    private Runnable reservation;

    StreamMover(ForwardParts parts, ForwardedRequest r, Generation generation, Context context) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Forgets the copy, which can be used once. */
    void reset() {
        destination = null;
        copy = null;
        endReservation();
    }

    private void endReservation() {
        if (reservation != null) {
            reservation.run();
            reservation = null;
        }
    }

    /** Tells whether a copy exists; it lacks only the tokens made since. */
    boolean hasCopy() {
        return copy != null;
    }

    /** Returns the engine that holds the copy. */
    TargetRow destination() {
        return destination;
    }

    /** Returns the id of the copy. */
    String copy() {
        return copy;
    }

    /** Starts to copy while the generation runs, unless that has begun; the leg is signalled when it is done. */
    void begin(StreamLeg leg) {
        boolean able =
                r.service().engine().filter(ServiceSpec.EngineTraits::copies).isPresent();
        if (!busy && copy == null && able) {
            busy = true;
            context.runOnContext(v -> {
                try {
                    copyWhileRunning(leg);
                } finally {
                    busy = false;
                }
            });
        }
    }

    private void copyWhileRunning(StreamLeg leg) {
        Optional<TargetRow> row = destination(leg.row());
        if (row.isEmpty()) {
            LogEvent.of("stream.noDestination").request(r.id()).info(LOG);
            full.clear();
            TimedAwait.pause(context.owner(), NEXT_TRY);
            leg.feed().signal();
            return;
        }
        TargetRow to = row.get();
        to.keepCopy(leg.flight());
        reservation = () -> to.dropCopy(leg.flight());
        Optional<String> made = call(leg, to);
        if (made.isPresent() && !leg.flight().hasEnded()) {
            destination = to;
            copy = made.get();
        } else {
            full.add(to.target().id());
            endReservation();
        }
        leg.feed().signal();
    }

    /** Engines know best whether they have room, so one that seems full is asked as well if no other is left. */
    private Optional<TargetRow> destination(TargetRow source) {
        return copyHolder(source, TargetChooser.PLANNED_MEMORY)
                .or(() -> copyHolder(source, TargetChooser.WHOLE_MEMORY))
                .or(() -> copyHolder(source, TargetChooser.OVERFULL_MEMORY));
    }

    private Optional<TargetRow> copyHolder(TargetRow source, double share) {
        return parts.chooser().copyHolder(r.service(), generation, source, share, full);
    }

    private Optional<String> call(StreamLeg leg, TargetRow to) {
        CopyCall call = parts.codec().copy(r.id(), to.target().address());
        LogEvent event = LogEvent.of("stream.copied")
                .request(r.id())
                .with("from", leg.row().target().id())
                .with("target", to.target().id());
        long start = parts.timer().nanos();
        try {
            HttpClientRequest request = parts.client()
                    .connect(r.service(), leg.row().target().address(), call.method(), call.uri(), COPY_TIMEOUT);
            HttpClientResponse response = parts.client().send(request, call.body(), COPY_TIMEOUT, reset -> {});
            Optional<String> made = parts.codec().readCopy(response.statusCode(), body(request, response));
            event.with("status", response.statusCode())
                    .with("ms", Duration.ofNanos(parts.timer().nanos() - start).toMillis())
                    .info(LOG);
            return made;
        } catch (StepException e) {
            event.with("step", e.step()).with("reason", e.getMessage()).info(LOG);
            return Optional.empty();
        }
    }

    private Buffer body(HttpClientRequest request, HttpClientResponse response) {
        Buffer body = Buffer.buffer();
        AnswerFeed feed = new AnswerFeed(response);
        long until = parts.timer().nanos() + COPY_TIMEOUT.toNanos();
        while (true) {
            // One bound for the whole answer: a byte now and then must not hold the generation here.
            AnswerFeed.Item item =
                    feed.next(Duration.ofNanos(until - parts.timer().nanos()));
            if (item instanceof AnswerFeed.Piece piece && body.length() < MAX_ANSWER_BYTES) {
                body.appendBuffer(piece.bytes());
            } else if (item instanceof AnswerFeed.End) {
                return body;
            } else {
                request.reset();
                throw new StepException(Step.RESUME, r.id(), Outcome.UNKNOWN, "answer to the copy broke off: " + item);
            }
        }
    }
}
