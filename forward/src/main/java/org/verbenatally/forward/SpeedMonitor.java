package org.verbenatally.forward;

import java.time.Duration;
import java.util.Objects;

import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.time.TimerService;

/** Counts the targets that are slower or faster than their service, and logs which become so or return to average. */
final class SpeedMonitor {
    private static final Logger LOG = Logger.getLogger(SpeedMonitor.class);
    private static final Duration PERIOD = Duration.ofSeconds(1);

    private final TimerService timer;
    private final TargetDirectory directory;
    private volatile int slow;
    private volatile int fast;

    SpeedMonitor(TimerService timer, TargetDirectory directory) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.directory = Objects.requireNonNull(directory, "directory");
    }

    /** Starts the periodic checks. */
    void start() {
        timer.every(PERIOD, tick -> check());
    }

    /** Counts the targets and logs those whose factor has left the dead band or returned to it. */
    void check() {
        int[] counts = new int[2];
        long now = timer.nanos();
        directory.forEachState(state -> {
            double factor = state.speed().factor(now);
            counts[0] += factor < 1 ? 1 : 0;
            counts[1] += factor > 1 ? 1 : 0;
            if (state.speed().updateDeadBand(now)) {
                LogEvent.of("target.speed")
                        .with("target", state.target().id())
                        .with("service", state.target().service())
                        .with("factor", factor)
                        .info(LOG);
            }
        });
        slow = counts[0];
        fast = counts[1];
    }

    int slowTargets() {
        return slow;
    }

    int fastTargets() {
        return fast;
    }
}
