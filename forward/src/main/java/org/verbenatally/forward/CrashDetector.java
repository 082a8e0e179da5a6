package org.verbenatally.forward;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.Trait;
import org.verbenatally.policy.CrashLedger;
import org.verbenatally.policy.CrashReporter;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TraitReport;

/**
 * Finds crashes of targets and the requests that were served in spite of them, for the {@link CrashLedger} of this and
 * of all other instances. A broken connection alone does not count as a crash: the target must also have stopped
 * listening, and must not have been about to leave.
 */
final class CrashDetector {
    private static final Logger LOG = Logger.getLogger(CrashDetector.class);
    /**
     * A request makes its target crash as soon as the target begins to serve it; one that has been generating for
     * longer than this has nothing to do with a crash.
     */
    private static final Duration BEGUN_AFTER = Duration.ofSeconds(1);

    private final CrashReporter reporter;
    private final TargetDirectory directory;
    private final TimerService timer;
    private final TargetProbe probe;
    private final ForwardMetrics metrics;

    CrashDetector(
            CrashReporter reporter,
            TargetDirectory directory,
            TimerService timer,
            TargetProbe probe,
            ForwardMetrics metrics) {
        this.reporter = Objects.requireNonNull(reporter, "reporter");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.probe = Objects.requireNonNull(probe, "probe");
    }

    /** Returns whether an accepted request may be sent to a target; see {@link CrashLedger#tryAdmit}. */
    boolean tryAdmit(Set<Trait> traits) {
        return reporter.ledger().tryAdmit(traits);
    }

    /** Returns whether a request is likely to crash a further target. */
    boolean isQuarantined(Set<Trait> traits) {
        return reporter.ledger().isQuarantined(traits);
    }

    /** Returns how many sets of traits are quarantined. */
    int quarantinedCount() {
        return reporter.ledger().quarantined().size();
    }

    /**
     * Returns whether a request that was lost with its target may have been the cause: the target had not clearly begun
     * to serve it, and it has a part in its prompt with which no request is known to have been served.
     */
    boolean mayHaveCrashed(InFlightRequest lost) {
        return !hasBegun(lost)
                && lost.traits().stream()
                        .anyMatch(trait ->
                                trait.isPromptPart() && !reporter.ledger().isServed(trait));
    }

    /** Returns whether a target has been generating for a request for so long that the request cannot crash it. */
    boolean hasBegun(InFlightRequest inFlight) {
        return inFlight.generatingFor(timer.nanos())
                .filter(time -> time.compareTo(BEGUN_AFTER) >= 0)
                .isPresent();
    }

    /** Records that a target has served a request, or has been generating for {@link #hasBegun long enough}. */
    void onServed(InFlightRequest inFlight) {
        Duration age = inFlight.generatingFor(timer.nanos()).orElse(Duration.ZERO);
        reporter.recordServed(inFlight.traits(), age);
    }

    /** Applies the reports of other instances. */
    void onTraitReports(List<TraitReport> reports) {
        reporter.receive(reports);
    }

    /**
     * Called when a connection to a target broke: checks in the background whether the target died with all requests
     * that it ran.
     */
    void onConnectionLost(TargetState state) {
        if (directory.isLeaving(state) || !state.trySuspect()) {
            return;
        }
        ForwardTarget target = state.target();
        long lostAt = timer.nanos();
        List<InFlightRequest> suspected = state.inFlightRequests().stream()
                .filter(inFlight -> !hasBegun(inFlight))
                .toList();
        probe.check(target).onSuccess(v -> state.onListening()).onFailure(e -> onCrash(target, suspected, lostAt, e));
    }

    private void onCrash(ForwardTarget target, List<InFlightRequest> suspected, long lostAt, Throwable reason) {
        metrics.countDecision("crash of a target");
        Duration age = Duration.ofNanos(timer.nanos() - lostAt);
        Set<Trait> traits = new LinkedHashSet<>();
        suspected.forEach(inFlight -> traits.addAll(inFlight.traits()));
        suspected.forEach(inFlight -> LogEvent.of("target.crashed")
                .request(inFlight.requestId())
                .with("target", target.id())
                .with("traits", inFlight.traits())
                .with(
                        "generatingMs",
                        inFlight.generatingFor(lostAt).map(Duration::toMillis).orElse(-1L))
                .with("reason", reason.getMessage())
                .info(LOG));
        reporter.recordCrash(target.id(), target.startedMs(), traits, age);
    }
}
