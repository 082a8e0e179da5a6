package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Outcome;
import org.verbenatally.core.StepException;
import org.verbenatally.time.TimedAwait;

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
    /** A generation that has lost this many engines without notice is not given to another one. */
    private static final int MAX_LOSSES = 2;
    /** Longest wait for an engine to continue a generation that no other one runs. */
    private static final Duration CONTINUE_TIMEOUT = Duration.ofSeconds(2);
    /** Longest wait while the present engine may still run the generation, which two engines must not do for long. */
    private static final Duration OVERLAP_TIMEOUT = Duration.ofMillis(250);
    /** Time after which a backup is tried again whose engine did not respond. */
    private static final Duration BACKUP_RETRY_PAUSE = Duration.ofSeconds(1);

    /** Interval at which to check whether a cold engine may get a request; short against a cold time of a second. */
    private static final Duration ALLOWANCE_CHECK_INTERVAL = Duration.ofMillis(50);

    private final ForwardComponents components;
    private final ForwardedRequest request;
    private final CallerExchange caller;
    private final EventSplitter events;
    private final StreamSender sender;
    private final StreamMigration migration;
    private final RunStopper stopper;
    private int count;
    private int losses;
    /** Segment that was counted last among the losses. */
    private StreamSegment lostSegment;
    /** Engine that has no backup of the generation; it is not tried again. */
    private TargetState refusedBackup;

    private boolean backupPaused;
    private long backupPausedUntil;

    /**
     * Creates the continuation of a generation that runs at its first engine.
     *
     * @param events events that the caller has received
     * @param stopper ends the runs at engines that were asked to continue and have not accepted
     */
    StreamContinuation(
            ForwardComponents components,
            ForwardedRequest request,
            CallerExchange caller,
            EventSplitter events,
            StreamSender sender,
            StreamMigration migration,
            RunStopper stopper) {
        this.components = Objects.requireNonNull(components, "components");
        this.request = Objects.requireNonNull(request, "request");
        this.caller = Objects.requireNonNull(caller, "caller");
        this.events = Objects.requireNonNull(events, "events");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.migration = Objects.requireNonNull(migration, "migration");
        this.stopper = Objects.requireNonNull(stopper, "stopper");
    }

    /** Returns how many continuations were tried. */
    int count() {
        return count;
    }

    /** Returns whether the generation can leave the engine now. Starts to copy a long generation that has no copy. */
    boolean prepareToLeave(StreamSegment segment) {
        if (hasUsableBackup(segment.inFlight())) {
            return true;
        }
        if (migration.hasCopy()) {
            return mayContinueAt(migration.destination());
        }
        if (segment.inFlight().isLong()) {
            migration.start(segment);
        }
        return false;
    }

    /** Returns whether another engine may keep a backup of the generation. */
    boolean hasBackup(InFlightRequest inFlight) {
        TargetState backup = inFlight.backup();
        return backup != null && backup != refusedBackup;
    }

    /** Returns whether another engine keeps a backup that the generation could continue from at once. */
    boolean hasUsableBackup(InFlightRequest inFlight) {
        long now = components.timer().nanos();
        return hasBackup(inFlight)
                && !(backupPaused && now - backupPausedUntil < 0)
                && !components.directory().isLeaving(inFlight.backup())
                && !inFlight.backup().isSuspended(now)
                && mayContinueAt(inFlight.backup());
    }

    private boolean mayContinueAt(TargetState state) {
        return components.gate().maySend(state.target()) && !stopper.isStopping(state);
    }

    /** Continues at another engine while the leaving one still runs the generation; empty if that is not possible. */
    Optional<StreamSegment> continueFromLeaving(StreamSegment segment) {
        if (!hasUsableBackup(segment.inFlight())) {
            return continueFromMigration(segment, OVERLAP_TIMEOUT);
        }
        return tryBackup(segment, OVERLAP_TIMEOUT, caller::onGone);
    }

    /**
     * Continues at the engine that keeps the backup while a silent engine may still run the generation; empty if that
     * is not possible, if the silent engine goes on meanwhile, or if the generation itself may have been the cause.
     *
     * @param verdict what the silence means
     */
    Optional<StreamSegment> continueFromSilent(StreamSegment segment, SilenceMonitor.Verdict verdict) {
        if (verdict != SilenceMonitor.Verdict.STALLED) {
            countLoss(segment);
        }
        if (losses >= MAX_LOSSES || components.crashDetector().mayHaveCrashed(segment.inFlight())) {
            pauseBackup();
            return Optional.empty();
        }
        // An engine that is out of reach may be back, and still run the generation, before the other one responds.
        Duration limit = verdict == SilenceMonitor.Verdict.DEAD ? CONTINUE_TIMEOUT : OVERLAP_TIMEOUT;
        Optional<StreamSegment> next = tryBackup(segment, limit, cancel -> {
            caller.onGone(cancel);
            segment.reader().onProgress(cancel);
        });
        segment.reader().onProgress(() -> {});
        return next;
    }

    private void countLoss(StreamSegment segment) {
        losses += segment == lostSegment ? 0 : 1;
        lostSegment = segment;
    }

    /** Continues from the backup, which is tried again later unless its engine says that it has none. */
    private Optional<StreamSegment> tryBackup(StreamSegment segment, Duration limit, Consumer<Runnable> onSent) {
        Optional<StreamSegment> next = continueAt(backupOf(segment.inFlight()), segment.targetState(), limit, onSent);
        if (next.isEmpty()) {
            pauseBackup();
        }
        return next;
    }

    private void pauseBackup() {
        backupPaused = true;
        backupPausedUntil = components.timer().nanos() + BACKUP_RETRY_PAUSE.toNanos();
    }

    /**
     * Continues after the exchange with the engine broke off; empty if there is no copy, if engines broke off too
     * often, or if the generation itself may have been the cause.
     */
    Optional<StreamSegment> recover(StreamSegment segment) {
        if (!components.directory().isLeaving(segment.targetState())) {
            countLoss(segment);
        }
        if (losses >= MAX_LOSSES) {
            return Optional.empty();
        }
        Optional<StreamSegment> next = Optional.empty();
        if (migration.hasCopy()) {
            prepareRecovery(segment.targetState(), migration.destination());
            next = continueFromMigration(segment, CONTINUE_TIMEOUT);
        }
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
                : continueFromBackup(lost);
    }

    private Optional<StreamSegment> continueFromMigration(StreamSegment segment, Duration limit) {
        TargetState former = segment.targetState();
        var copy = new Copy(
                migration.destination(), migration.copyId(), former.target().address());
        Optional<StreamSegment> next = continueAt(copy, former, limit, caller::onGone);
        if (next.isEmpty()) {
            migration.avoidDestination();
        }
        migration.reset();
        return next;
    }

    /**
     * Ends the run at an engine whose exchange broke off, but which may be at work, and waits until the engine that
     * holds a copy may be asked to continue.
     */
    private void prepareRecovery(TargetState lost, TargetState holder) {
        stopper.stop(lost, holder);
        awaitAllowance(holder);
    }

    /**
     * Waits while an engine that holds the only copy of a generation, which would be lost otherwise, is cold or has a
     * run of it to stop.
     */
    private void awaitAllowance(TargetState holder) {
        long deadline = components.timer().nanos() + CONTINUE_TIMEOUT.toNanos();
        while (!caller.isGone() && !mayContinueAt(holder) && components.timer().nanos() - deadline < 0) {
            TimedAwait.sleep(caller.owner(), ALLOWANCE_CHECK_INTERVAL);
        }
    }

    private Optional<StreamSegment> continueFromBackup(InFlightRequest lost) {
        prepareRecovery(lost.targetState(), lost.backup());
        return continueAt(backupOf(lost), lost.targetState(), CONTINUE_TIMEOUT, caller::onGone);
    }

    /**
     * A copy of the generation.
     *
     * @param state the engine that has it, or {@code null} if there is none
     * @param id its id
     * @param issuer address of the engine that the id refers to
     */
    private record Copy(TargetState state, String id, Address issuer) {}

    private Copy backupOf(InFlightRequest inFlight) {
        TargetState backup = inFlight.backup();
        return new Copy(backup, request.id(), backup.target().address());
    }

    /**
     * Sends the request to the engine that holds a copy of the generation.
     *
     * @param former engine that has run the generation until now, or still runs it
     * @param limit longest wait for the head of the response
     * @param onSent receives the action that cancels the exchange
     */
    private Optional<StreamSegment> continueAt(
            Copy copy, TargetState former, Duration limit, Consumer<Runnable> onSent) {
        TargetState state = copy.state();
        if (state == null
                || count >= MAX_CONTINUATIONS
                || caller.isGone()
                || stopper.isStopping(state)
                || components.crashDetector().isQuarantined(request.traits())) {
            return Optional.empty();
        }
        count++;
        InFlightRequest inFlight = sender.reserve(state);
        try {
            var continuation = new ForwardingMetadata.Continuation(copy.issuer(), copy.id(), events.lastId());
            Attempt attempt = sender.send(inFlight, AdmissionRank.CONTINUED, Optional.of(continuation), limit, onSent);
            ResponseHead head = attempt.head();
            boolean untrusted = attempt.isUntrusted();
            if (head.notRun() || !head.isSuccess() || untrusted) {
                if (!untrusted && copy.id().equals(request.id())) {
                    refusedBackup = state;
                }
                if (untrusted) {
                    attempt.cancel();
                    stopper.stop(state, former);
                } else {
                    attempt.discard();
                }
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
            backupPaused = false;
            return Optional.of(new StreamSegment(inFlight, attempt));
        } catch (StepException e) {
            Attempt.logFailure(request, state, e);
            inFlight.end();
            if (e.outcome() == Outcome.UNKNOWN) {
                stopper.stop(state, former);
            }
            return Optional.empty();
        } catch (RuntimeException | Error e) {
            inFlight.end();
            throw e;
        }
    }
}
