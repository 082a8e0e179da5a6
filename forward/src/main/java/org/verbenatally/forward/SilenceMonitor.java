package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;
import java.util.function.Function;

import io.vertx.core.Future;
import org.verbenatally.time.TimerService;

/**
 * Decides whether an engine that sends no events still serves its generation. A sound engine may pause for a second or
 * so; an engine is left earlier only if it refuses a connection. All methods must be called on the context of the
 * request.
 */
final class SilenceMonitor {
    /** Silence after which the engine is checked, in event gap objectives. */
    private static final int CHECK_AFTER_GAPS = 5;
    /** Longest silence of an engine that does not refuse connections. */
    private static final Duration MAX_SILENCE = Duration.ofSeconds(2);
    /** Time between two verdicts on an engine whose generation cannot continue elsewhere at present. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(250);

    /** What the silence of an engine means. */
    enum Verdict {
        /** The engine sends events, or is likely to go on. */
        SERVING,
        /** The engine accepts connections, but makes no progress or has lost the connection of the generation. */
        STALLED,
        /** The engine does not respond at all. */
        UNREACHABLE,
        /** The engine refuses connections: its process has ended. */
        DEAD
    }

    private final TimerService timer;
    private final Function<ForwardTarget, Future<Void>> checker;
    private final Duration checkAfter;
    private final Duration maxSilence;
    private final Runnable onChecked;
    private long lastProgressNanos;
    private Future<Void> check;

    /**
     * Creates a monitor that counts from the present time.
     *
     * @param checker checks whether a target accepts connections, see {@link TargetProbe#checkShared}
     * @param eventGapObjective longest time between two events of a healthy generation
     * @param onChecked called when the check of an engine has ended
     */
    SilenceMonitor(
            TimerService timer,
            Function<ForwardTarget, Future<Void>> checker,
            Duration eventGapObjective,
            Runnable onChecked) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.checker = Objects.requireNonNull(checker, "checker");
        this.onChecked = Objects.requireNonNull(onChecked, "onChecked");
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
            check = checker.apply(target);
            check.onComplete(result -> onChecked.run());
        }
        if (check.failed() && TargetProbe.isRefused(check.cause())) {
            return Verdict.DEAD;
        }
        if (!check.isComplete() || silence.compareTo(maxSilence) < 0) {
            return Verdict.SERVING;
        }
        return check.succeeded() ? Verdict.STALLED : Verdict.UNREACHABLE;
    }

    /** Returns the time until the verdict may change without a check that ends or an event that arrives. */
    Duration untilNextVerdict() {
        Duration silence = silence();
        Duration next = silence.compareTo(checkAfter) < 0 ? checkAfter : maxSilence;
        return next.compareTo(silence) > 0 ? next.minus(silence) : RECHECK_INTERVAL;
    }
}
