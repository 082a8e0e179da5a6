package org.verbenatally.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Context;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.StepException;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimedAwait;

/**
 * Copies a generation, while it runs, from an engine that is about to leave to another one. It serves generations that
 * have no backup. All methods must be called on the context of the request.
 */
final class StreamMigration {
    private static final Logger LOG = Logger.getLogger(StreamMigration.class);
    /** A leaving engine makes one copy after another, each in a few tenths of a second. */
    private static final Duration COPY_TIMEOUT = Duration.ofSeconds(3);

    /** Capacity becomes free when another generation ends; an engine about to leave has a second or two. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final Generation generation;
    private final Context context;
    private final EngineOrders orders;
    private TargetState destination;
    private String copyId;
    private boolean copying;
    private final Set<TargetId> refusedBy = new HashSet<>();
    /** Segment of which the engine has stated that it does not run it. */
    private StreamSegment notRunning;

    private long generatedWhenNotRunning;
    private TargetState.CopyReservation reservation;

    StreamMigration(ForwardComponents components, ForwardedRequest request, Generation generation, Context context) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.generation = Objects.requireNonNull(generation, "generation");
        this.context = Objects.requireNonNull(context, "context");
        this.orders = new EngineOrders(components, request.id(), components.client()::connectUnpooled);
    }

    /** Discards the copy, which can be used only once. */
    void reset() {
        destination = null;
        copyId = null;
        endReservation();
    }

    /** Has the next copy made to another engine, if there is one, as this one did not continue from its copy. */
    void avoidDestination() {
        if (destination != null) {
            refusedBy.add(destination.target().id());
        }
    }

    private void endReservation() {
        if (reservation != null) {
            reservation.close();
            reservation = null;
        }
    }

    /** Returns whether a copy exists; it lacks only the tokens generated since. */
    boolean hasCopy() {
        return copyId != null;
    }

    /** Returns the engine that holds the copy. */
    TargetState destination() {
        return destination;
    }

    /** Returns the id of the copy. */
    String copyId() {
        return copyId;
    }

    /**
     * Starts to copy the generation while it runs, unless a copy exists or is being made. The segment's reader is
     * signalled when the copy has been made or has failed. An engine that does not run the generation, perhaps not yet,
     * is asked again once it has sent further events.
     */
    void start(StreamSegment segment) {
        boolean copySupported = request.service()
                .engine()
                .filter(ServiceSpec.EngineTraits::supportsCopies)
                .isPresent();
        boolean mayBeRunning = notRunning != segment || segment.inFlight().generated() != generatedWhenNotRunning;
        boolean allowed = components.directory().mayOrderCopy(segment.targetState());
        if (!copying && copyId == null && copySupported && mayBeRunning && allowed) {
            copying = true;
            context.runOnContext(v -> {
                try {
                    copyWhileRunning(segment);
                } finally {
                    copying = false;
                }
            });
        }
    }

    private void copyWhileRunning(StreamSegment segment) {
        if (segment.inFlight().hasEnded()) {
            return;
        }
        // The order is itself a request to the source.
        if (!components.gate().maySend(segment.targetState().target())) {
            pauseBeforeRetry(segment);
            return;
        }
        Optional<TargetState> chosen = chooseDestination(segment.targetState());
        if (chosen.isEmpty()) {
            LogEvent.of("stream.noDestination").request(request.id()).info(LOG);
            refusedBy.clear();
            pauseBeforeRetry(segment);
            return;
        }
        TargetState holder = chosen.get();
        reservation = holder.reserveCopy(segment.inFlight());
        notRunning = null;
        Optional<String> copied = Optional.empty();
        try {
            copied = requestCopy(segment, holder);
        } finally {
            if (copied.isPresent() && !segment.inFlight().hasEnded()) {
                destination = holder;
                copyId = copied.get();
            } else {
                if (notRunning != segment) {
                    refusedBy.add(holder.target().id());
                }
                endReservation();
            }
            segment.reader().signal();
        }
    }

    private void pauseBeforeRetry(StreamSegment segment) {
        TimedAwait.sleep(context.owner(), RETRY_PAUSE);
        segment.reader().signal();
    }

    /**
     * Engines know best whether they have capacity, so one that seems full is asked as well if no other is left. A
     * generation of an evacuated engine may end there, so it moves only where there is room.
     */
    private Optional<TargetState> chooseDestination(TargetState source) {
        if (!source.isLeaving()) {
            return chooseCopyHolder(source, TargetChooser.PLANNED_MEMORY_SHARE);
        }
        return chooseCopyHolder(source, TargetChooser.PLANNED_MEMORY_SHARE)
                .or(() -> chooseCopyHolder(source, TargetChooser.FULL_MEMORY_SHARE))
                .or(() -> chooseCopyHolder(source, TargetChooser.OVERFULL_MEMORY_SHARE));
    }

    private Optional<TargetState> chooseCopyHolder(TargetState source, double share) {
        return components.chooser().chooseCopyHolder(request.service(), generation, source, share, refusedBy);
    }

    private Optional<String> requestCopy(StreamSegment segment, TargetState holder) {
        TargetState source = segment.targetState();
        EngineOrder order =
                components.codec().copyRequest(request.id(), holder.target().address());
        LogEvent event = LogEvent.of("stream.copied")
                .request(request.id())
                .with("from", source.target().id())
                .with("target", holder.target().id());
        long start = components.timer().nanos();
        long generated = segment.inFlight().generated();
        try {
            EngineOrders.Response response = orders.send(order, source, COPY_TIMEOUT, () -> isUseful(source, holder));
            if (components.codec().isNotRunning(response.status())) {
                notRunning = segment;
                generatedWhenNotRunning = generated;
            }
            event.with("status", response.status())
                    .with(
                            "ms",
                            Duration.ofNanos(components.timer().nanos() - start).toMillis())
                    .info(LOG);
            return components.codec().readCopyResponse(response.status(), response.body());
        } catch (StepException e) {
            event.with("step", e.step()).with("reason", e.getMessage()).info(LOG);
            return Optional.empty();
        }
    }

    /** Returns whether an order to copy still arrives in time, and the copy could be used. */
    private boolean isUseful(TargetState source, TargetState holder) {
        return components.directory().mayOrderCopy(source)
                && !components.directory().isEvacuated(holder.target());
    }
}
