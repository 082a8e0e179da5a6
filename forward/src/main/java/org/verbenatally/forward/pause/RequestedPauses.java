package org.verbenatally.forward.pause;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Step;
import org.verbenatally.forward.ForwardTarget;
import org.verbenatally.forward.TargetRun;
import org.verbenatally.time.TimerService;

/**
 * The pauses that targets have asked this instance for. After its pause, a target gets one request at a time until it
 * has accepted one. A restarted target is a new one. Safe for use by several threads.
 */
public final class RequestedPauses {
    private static final Logger LOG = Logger.getLogger(RequestedPauses.class);

    /** Longest pause that is kept; a target that asks for more is tried again after this time. */
    static final Duration MAX_PAUSE = Duration.ofMinutes(5);
    /** Time after its pause for which a target that has accepted no request since is remembered. */
    private static final Duration RETENTION = Duration.ofMinutes(1);
    /** Number of pauses above which those that ended long ago are removed. */
    private static final int FIRST_PURGE = 256;

    /** Permission to send one request to one target. */
    public interface Permit {
        /** Permit for a target that has asked for no pause. */
        Permit UNLIMITED = () -> {};

        /** Ends the use of the permit when the target has responded or the exchange has ended. May be called again. */
        void end();
    }

    private static final class Pause {
        /** Monotonic time, in nanoseconds. */
        private long until;
        /** The request that tries whether the target accepts work again, or {@code null} if there is none. */
        private Permit trial;

        private boolean isOver(long now) {
            return now - until >= 0;
        }
    }

    private final TimerService timer;
    private final Map<TargetRun, Pause> pauses = new HashMap<>();
    private volatile boolean empty = true;
    private int purgeAt = FIRST_PURGE;

    /** Creates a table without pauses. */
    public RequestedPauses(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /** Returns whether a request may be sent to a target now; takes nothing. */
    public boolean maySend(ForwardTarget target) {
        return empty || mayTry(target.run());
    }

    private synchronized boolean mayTry(TargetRun run) {
        Pause pause = pauses.get(run);
        return pause == null || pause.isOver(timer.nanos()) && pause.trial == null;
    }

    /** Takes the permission to send one request, as the last step before the send; empty if there is none. */
    public Optional<Permit> tryAcquire(ForwardTarget target) {
        return empty ? Optional.of(Permit.UNLIMITED) : tryAcquire(target.run());
    }

    private synchronized Optional<Permit> tryAcquire(TargetRun run) {
        if (!mayTry(run)) {
            return Optional.empty();
        }
        Pause pause = pauses.get(run);
        if (pause == null) {
            return Optional.of(Permit.UNLIMITED);
        }
        pause.trial = new Permit() {
            @Override
            public void end() {
                endTrial(pause, this);
            }
        };
        return Optional.of(pause.trial);
    }

    private synchronized void endTrial(Pause pause, Permit trial) {
        if (pause.trial == trial) {
            pause.trial = null;
        }
    }

    /**
     * Records that a target has turned a request away.
     *
     * @param request the pause that it asks for; of several pauses, the one that ends last counts
     */
    public void onRefused(ForwardTarget target, PauseRequest request) {
        request.malformed().ifPresent(reason -> log("pause.malformed", target, reason));
        request.length().ifPresent(length -> {
            if (length.compareTo(MAX_PAUSE) > 0) {
                log("pause.shortened", target, length + " is longer than " + MAX_PAUSE);
                begin(target, MAX_PAUSE);
            } else {
                begin(target, length);
            }
        });
    }

    private static void log(String event, ForwardTarget target, String reason) {
        LogEvent.of(event)
                .with("target", target.id())
                .with("step", Step.SEND)
                .with("reason", reason)
                .warn(LOG);
    }

    private synchronized void begin(ForwardTarget target, Duration length) {
        long now = timer.nanos();
        if (pauses.size() >= purgeAt) {
            pauses.values().removeIf(pause -> now - pause.until >= RETENTION.toNanos());
            purgeAt = Math.max(FIRST_PURGE, 2 * pauses.size());
        }
        long until = now + length.toNanos();
        Pause pause = pauses.get(target.run());
        if (pause == null) {
            pause = new Pause();
            pause.until = until;
            pauses.put(target.run(), pause);
            empty = false;
        } else {
            pause.until = pause.isOver(now) ? until : now + Math.max(until - now, pause.until - now);
        }
        LogEvent.of("target.paused")
                .with("target", target.id())
                .with("ms", Duration.ofNanos(pause.until - now).toMillis())
                .info(LOG);
    }

    /** Records that a target has accepted a request, after which it is no longer limited unless its pause goes on. */
    public void onAccepted(ForwardTarget target) {
        if (!empty) {
            endIfOver(target);
        }
    }

    private synchronized void endIfOver(ForwardTarget target) {
        Pause pause = pauses.get(target.run());
        // A request that was sent before the refusal may be accepted after it.
        if (pause != null && pause.isOver(timer.nanos())) {
            pauses.remove(target.run());
            empty = pauses.isEmpty();
            LogEvent.of("target.resumed").with("target", target.id()).info(LOG);
        }
    }

    /** Returns how much longer a target wants no requests, zero if its pause is over or it has asked for none. */
    public Duration remaining(ForwardTarget target) {
        return empty ? Duration.ZERO : remaining(target.run());
    }

    private synchronized Duration remaining(TargetRun run) {
        Pause pause = pauses.get(run);
        long now = timer.nanos();
        return pause == null || pause.isOver(now) ? Duration.ZERO : Duration.ofNanos(pause.until - now);
    }

    /** Returns how many targets are in their pause. */
    public synchronized int pausedCount() {
        long now = timer.nanos();
        return (int)
                pauses.values().stream().filter(pause -> !pause.isOver(now)).count();
    }
}
