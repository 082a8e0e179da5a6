package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;

import io.vertx.core.Future;
import org.verbenatally.time.TimerService;

/**
 * Decides whether an engine that sends no events still serves its generation. A sound engine may be silent for a second
 * or so. One that accepts no connections is dead; one that stays silent has lost the connection or makes no progress.
 * All methods must be called on the context of the request.
 */
final class SilenceMonitor {
    /** Silence after which the engine is checked, in event gap objectives. */
    private static final int CHECK_AFTER_GAPS = 5;
    /** Longest silence of an engine that accepts connections. */
    private static final Duration MAX_SILENCE = Duration.ofSeconds(2);

    /** What the silence of an engine means. */
    enum Verdict {
        /** The engine sends events, or is likely to go on. */
        SERVING,
        /** The engine accepts connections, but has been silent for too long. */
        STALLED,
        /** The engine accepts no connections. */
        DEAD
    }

    private final TimerService timer;
    private final TargetProbe probe;
    private final Duration checkAfter;
    private final Duration maxSilence;
    private final Runnable onVerdict;
    private long lastProgressNanos;
    private Future<Void> check;

    /**
     * Creates a monitor that counts from the present time.
     *
     * @param eventGapObjective longest time between two events of a healthy generation
     * @param onVerdict called when the check of an engine has ended
     */
    SilenceMonitor(TimerService timer, TargetProbe probe, Duration eventGapObjective, Runnable onVerdict) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.probe = Objects.requireNonNull(probe, "probe");
        this.onVerdict = Objects.requireNonNull(onVerdict, "onVerdict");
        this.checkAfter = eventGapObjective.multipliedBy(CHECK_AFTER_GAPS);
        Duration checked = checkAfter.plus(TargetProbe.TIMEOUT);
        this.maxSilence = checked.compareTo(MAX_SILENCE) > 0 ? checked : MAX_SILENCE;
        onProgress();
    }

    /** Records that the engine has started its response, or that an event of it was passed on. */
    void onProgress() {
        lastProgressNanos = timer.nanos();
        check = null;
    }

    /** Returns for how long there was no progress. */
    Duration silence() {
        return Duration.ofNanos(timer.nanos() - lastProgressNanos);
    }

    /** Returns the verdict on the engine, which is checked first if it has been silent for long enough. */
    Verdict verdict(ForwardTarget target) {
        Duration silence = silence();
        if (silence.compareTo(checkAfter) < 0) {
            return Verdict.SERVING;
        }
        if (check == null) {
            check = probe.check(target);
            check.onComplete(result -> onVerdict.run());
        }
        if (check.failed()) {
            return Verdict.DEAD;
        }
        return silence.compareTo(maxSilence) < 0 ? Verdict.SERVING : Verdict.STALLED;
    }

    /** Returns the time until the verdict may change without a check that ends or an event that arrives. */
    Duration untilNextVerdict() {
        Duration silence = silence();
        Duration next = silence.compareTo(checkAfter) < 0 ? checkAfter : maxSilence;
        return next.compareTo(silence) < 0 ? Duration.ZERO : next.minus(silence);
    }
}
