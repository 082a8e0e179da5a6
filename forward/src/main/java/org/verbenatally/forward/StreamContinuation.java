package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.StepException;

/**
 * Continues a generation at another engine when its own leaves, dies or stops sending events: at the engine that keeps
 * its backup, otherwise at the one that it was copied to after its engine announced that it leaves. All methods must be
 * called on the context of the request.
 */
final class StreamContinuation {
    private static final Logger LOG = Logger.getLogger(StreamContinuation.class);

    /**
     * Maximum number of continuations of one generation; each requires that an engine is lost during the generation's
     * lifetime.
     */
    private static final int MAX_CONTINUATIONS = 8;
    /** A generation whose engines broke off this often without notice is not given to another one. */
    private static final int MAX_LOSSES = 2;
    /** Longest wait for an engine to continue from a copy. */
    private static final Duration CONTINUE_TIMEOUT = Duration.ofSeconds(2);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final CallerExchange caller;
    private final EventSplitter events;
    private final StreamSender sender;
    private final StreamMigration migration;
    private int count;
    private int losses;
    /** Backup from which the generation could not be continued; it is not tried again. */
    private TargetState refusedBackup;

    /**
     * Creates the continuation of a generation that runs at its first engine.
     *
     * @param events events that the caller has received
     */
    StreamContinuation(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            EventSplitter events,
            StreamSender sender,
            StreamMigration migration) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.events = Objects.requireNonNull(events, "events");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.migration = Objects.requireNonNull(migration, "migration");
    }

    /** Returns how many continuations were tried. */
    int count() {
        return count;
    }

    /** Returns whether the generation can leave the engine now. Starts to copy a long generation that has no copy. */
    boolean prepareToLeave(StreamSegment segment) {
        if (hasUsableBackup(segment.inFlight()) || migration.hasCopy()) {
            return true;
        }
        if (segment.inFlight().isLong()) {
            migration.start(segment);
        }
        return false;
    }

    /** Returns whether another engine keeps a backup that the generation could continue from at once. */
    boolean hasUsableBackup(InFlightRequest inFlight) {
        TargetState backup = inFlight.backup();
        return backup != null
                && backup != refusedBackup
                && !components.directory().isLeaving(backup)
                && !backup.isSuspended(components.timer().nanos());
    }

    /** Continues at another engine while the leaving one still runs the generation; empty if that is not possible. */
    Optional<StreamSegment> continueFromLeaving(StreamSegment segment) {
        if (!hasUsableBackup(segment.inFlight())) {
            return continueFromMigration(segment);
        }
        return tryBackup(segment.inFlight());
    }

    /**
     * Continues at the engine that keeps the backup while a silent engine may still run the generation; empty if that
     * is not possible, or if the generation itself may have been the cause.
     *
     * @param dead whether the silent engine no longer accepts connections
     */
    Optional<StreamSegment> continueFromSilent(StreamSegment segment, boolean dead) {
        losses += dead ? 1 : 0;
        if (losses >= MAX_LOSSES || components.crashDetector().mayHaveCrashed(segment.inFlight())) {
            refusedBackup = segment.inFlight().backup();
            return Optional.empty();
        }
        return tryBackup(segment.inFlight());
    }

    /** Continues from the backup, which is not tried again if that is not possible. */
    private Optional<StreamSegment> tryBackup(InFlightRequest inFlight) {
        TargetState backup = inFlight.backup();
        Optional<StreamSegment> next = continueFromBackup(backup);
        if (next.isEmpty()) {
            refusedBackup = backup;
        }
        return next;
    }

    /**
     * Continues after the exchange with the engine broke off; empty if there is no copy, if engines broke off too
     * often, or if the generation itself may have been the cause.
     */
    Optional<StreamSegment> recover(StreamSegment segment) {
        losses += components.directory().isLeaving(segment.targetState()) ? 0 : 1;
        if (losses >= MAX_LOSSES) {
            return Optional.empty();
        }
        Optional<StreamSegment> next = migration.hasCopy() ? continueFromMigration(segment) : Optional.empty();
        return next.isPresent() ? next : recover(segment.inFlight());
    }

    /**
     * Continues after the engine was lost, possibly before it started to respond; empty if there is no backup, or if
     * the generation itself may have been the cause.
     */
    Optional<StreamSegment> recover(InFlightRequest lost) {
        TargetState backup = lost.backup();
        return backup == null
                        || backup == refusedBackup
                        || components.crashDetector().mayHaveCrashed(lost)
                ? Optional.empty()
                : continueFromBackup(backup);
    }

    private Optional<StreamSegment> continueFromMigration(StreamSegment segment) {
        Optional<StreamSegment> next = continueAt(
                migration.destination(),
                migration.copyId(),
                segment.targetState().target().address());
        migration.reset();
        return next;
    }

    private Optional<StreamSegment> continueFromBackup(TargetState backup) {
        return continueAt(backup, request.id(), backup.target().address());
    }

    /**
     * Sends the request to the engine that holds a copy of the generation.
     *
     * @param state the engine, or {@code null} if there is none
     * @param copyId id of the copy
     * @param holder address of the engine that the id refers to
     */
    private Optional<StreamSegment> continueAt(TargetState state, String copyId, Address holder) {
        if (state == null
                || count >= MAX_CONTINUATIONS
                || caller.isGone()
                || components.crashDetector().isQuarantined(request.traits())) {
            return Optional.empty();
        }
        count++;
        InFlightRequest inFlight = sender.reserve(state);
        try {
            var continuation = new ForwardingMetadata.Continuation(holder, copyId, events.lastId());
            Attempt attempt =
                    sender.send(inFlight, AdmissionRank.CONTINUED, Optional.of(continuation), CONTINUE_TIMEOUT);
            ResponseHead head = attempt.head();
            if (head.notRun() || !head.isSuccess() || attempt.isUntrusted(request)) {
                attempt.cancel();
                inFlight.end();
                attempt.logNotRun(request);
                return Optional.empty();
            }
            components.metrics().countDecision("continued");
            LogEvent.of("stream.continued")
                    .request(request.id())
                    .with("target", state.target().id())
                    .with("lastEvent", events.lastId().orElse(""))
                    .info(LOG);
            events.discardIncompleteEvent();
            refusedBackup = null;
            return Optional.of(new StreamSegment(inFlight, attempt));
        } catch (StepException e) {
            Attempt.logFailure(request, state, e);
            inFlight.end();
            return Optional.empty();
        }
    }
}
