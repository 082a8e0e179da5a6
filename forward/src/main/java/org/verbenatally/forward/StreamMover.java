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
import io.vertx.core.http.HttpMethod;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.Step;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;

/**
 * Copies a generation from an engine that is about to leave to another one while it runs, for generations of which no
 * copy is kept. All methods must be called on the context of the request.
 */
final class StreamMover {
    private static final Logger LOG = Logger.getLogger(StreamMover.class);
    /** A leaving engine copies one generation after another, a few tenths of a second each. */
    private static final Duration COPY_TIMEOUT = Duration.ofSeconds(3);
    /** Engines are taken away within about two seconds; the rest is copied before, whatever is still queued. */
    private static final Duration LATEST_FINISH = Duration.ofMillis(1_100);
    /** The rest since the first copy is a few tokens. */
    private static final Duration REPORT_TIMEOUT = Duration.ofMillis(100);
    /** Time kept for the last copy and the start elsewhere before the engine is gone. */
    private static final Duration LAST_COPY = Duration.ofMillis(250);

    private static final Duration REST_TIMEOUT = Duration.ofSeconds(1);

    /** Copies that are tried; engines without room refuse at once. */
    private static final int MAX_TRIES = 6;

    private static final int MAX_ANSWER_BYTES = 65_536;

    private final ForwardParts parts;
    private final ForwardedRequest r;
    private final Generation generation;
    private final Context context;
    private TargetRow destination;
    private String copy;
    private boolean busy;
    private long finishNanos;
    private int tries;
    private final Set<TargetId> full = new HashSet<>();
    private Runnable reservation;

    StreamMover(ForwardParts parts, ForwardedRequest r, Generation generation, Context context) {
        this.parts = Objects.requireNonNull(parts, "parts");
        this.r = Objects.requireNonNull(r, "r");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.context = Objects.requireNonNull(context, "context");
    }

    /** Starts anew after the generation has gone on at another engine. */
    void reset() {
        discardCopy();
        tries = 0;
        full.clear();
    }

    /** Forgets a copy that turned out to be of no use. */
    void discardCopy() {
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

    /** Tells whether a copy exists that lacks only the latest tokens. */
    boolean hasCopy() {
        return copy != null;
    }

    /** Tells whether the rest can be copied soon: the first copies of all generations are through by now. */
    boolean mayFinish() {
        return copy != null && parts.timer().nanos() - finishNanos >= 0;
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
        if (!busy && copy == null && able && tries < MAX_TRIES) {
            busy = true;
            tries++;
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
        if (tries == 1) {
            planFinish(leg.row());
        }
        Optional<TargetRow> row = parts.chooser()
                .copyHolder(r.service(), generation, leg.row(), TargetChooser.PLANNED_MEMORY, full)
                .or(() -> parts.chooser()
                        .copyHolder(r.service(), generation, leg.row(), TargetChooser.WHOLE_MEMORY, full));
        if (row.isEmpty()) {
            LogEvent.of("stream.noDestination").request(r.id()).info(LOG);
            return;
        }
        endReservation();
        TargetRow to = row.get();
        to.keepCopy(leg.flight());
        reservation = () -> to.dropCopy(leg.flight());
        parts.tellPeers().run();
        Optional<String> made = call(leg, to, false, COPY_TIMEOUT);
        if (made.isEmpty()) {
            full.add(to.target().id());
            endReservation();
            leg.feed().signal();
            return;
        }
        destination = to;
        copy = made.get();
        Duration wait = Duration.ofNanos(Math.max(1, finishNanos - parts.timer().nanos()));
        parts.timer().after(wait, () -> context.runOnContext(w -> leg.feed().signal()));
    }

    /** Plans the last copy for when all first copies should be through, but before the engine is gone. */
    private void planFinish(TargetRow source) {
        long start = parts.timer().nanos();
        Duration all = r.service().engine().orElseThrow().transferTime(source.ownTokens() + source.peerTokens());
        Duration latest = leavesIn(source).map(t -> t.minus(LAST_COPY)).orElse(LATEST_FINISH);
        finishNanos = start + (all.compareTo(latest) < 0 ? all : latest).toNanos();
        LogEvent.of("stream.leaving")
                .request(r.id())
                .with("target", source.target().id())
                .with("allCopiesMs", all.toMillis())
                .with("latestMs", latest.toMillis())
                .info(LOG);
    }

    private Optional<Duration> leavesIn(TargetRow source) {
        try {
            HttpClientRequest request = parts.client()
                    .connect(
                            r.service(),
                            source.target().address(),
                            HttpMethod.GET,
                            parts.codec().reportPath(),
                            REPORT_TIMEOUT);
            HttpClientResponse response = parts.client().send(request, Buffer.buffer(), REPORT_TIMEOUT, reset -> {});
            return parts.codec().readLeaving(body(request, response, REPORT_TIMEOUT));
        } catch (StepException e) {
            LogEvent.of("report.failed")
                    .with("target", source.target().id())
                    .with("step", e.step())
                    .with("reason", e.getMessage())
                    .info(LOG);
            return Optional.empty();
        }
    }

    /** Stops the generation and copies its rest; afterwards it can only go on from the copy. */
    boolean finish(StreamLeg leg) {
        return call(leg, destination, true, REST_TIMEOUT).isPresent();
    }

    private Optional<String> call(StreamLeg leg, TargetRow to, boolean last, Duration limit) {
        CopyCall call = parts.codec().copy(r.id(), to.target().address(), last);
        LogEvent event = LogEvent.of("stream.copied")
                .request(r.id())
                .with("from", leg.row().target().id())
                .with("target", to.target().id())
                .with("last", last);
        long start = parts.timer().nanos();
        try {
            HttpClientRequest request =
                    parts.client().connect(r.service(), leg.row().target().address(), call.method(), call.uri(), limit);
            HttpClientResponse response = parts.client().send(request, call.body(), limit, reset -> {});
            Optional<String> made = parts.codec().readCopy(response.statusCode(), body(request, response, limit));
            event.with("status", response.statusCode())
                    .with("ms", Duration.ofNanos(parts.timer().nanos() - start).toMillis())
                    .info(LOG);
            return made;
        } catch (StepException e) {
            event.with("step", e.step()).with("reason", e.getMessage()).info(LOG);
            return Optional.empty();
        }
    }

    private Buffer body(HttpClientRequest request, HttpClientResponse response, Duration limit) {
        Buffer body = Buffer.buffer();
        AnswerFeed feed = new AnswerFeed(response);
        while (true) {
            AnswerFeed.Item item = feed.next(limit);
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
