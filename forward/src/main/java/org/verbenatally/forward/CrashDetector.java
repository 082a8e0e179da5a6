package org.verbenatally.forward;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;
import org.verbenatally.policy.CrashLedger;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TraitReport;

/**
 * Finds crashes of targets and the requests that were served in spite of them, for the {@link CrashLedger} of this and
 * of all other instances. A broken connection alone does not count as a crash: the target must also have stopped
 * listening, and must not have been about to leave.
 */
final class CrashDetector {
    private static final Logger LOG = Logger.getLogger(CrashDetector.class);
    /** A listening process accepts a connection within a round trip; one that died refuses it or does not respond. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /**
     * A request makes its target crash as soon as the target begins to serve it; one that has been generating for
     * longer than this has nothing to do with a crash.
     */
    private static final Duration BEGUN_AFTER = Duration.ofSeconds(1);

    /** Maximum number of traits in one report. */
    private static final int MAX_REPORTED_TRAITS = 256;

    private final CrashLedger ledger;
    private final TargetDirectory directory;
    private final TimerService timer;
    private final NetClient probes;
    private final Consumer<TraitReport> peers;
    private final ForwardMetrics metrics;
    private volatile List<Set<Trait>> loggedQuarantine = List.of();

    /**
     * Creates a detector.
     *
     * @param peers sends a report to all other instances
     */
    CrashDetector(
            CrashLedger ledger,
            TargetDirectory directory,
            TimerService timer,
            Vertx vertx,
            Consumer<TraitReport> peers,
            ForwardMetrics metrics) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.timer = Objects.requireNonNull(timer, "timer");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.probes = vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) CONNECT_TIMEOUT.toMillis()));
    }

    /** Returns whether an accepted request may be sent to a target; see {@link CrashLedger#tryAdmit}. */
    boolean tryAdmit(Set<Trait> traits) {
        return ledger.tryAdmit(traits);
    }

    /** Returns whether a request is likely to crash a further target. */
    boolean isQuarantined(Set<Trait> traits) {
        return ledger.isQuarantined(traits);
    }

    /**
     * Returns whether a request that was lost with its target may have been the cause: the target had not clearly begun
     * to serve it, and it has a part in its prompt with which no request is known to have been served.
     */
    boolean mayHaveCrashed(InFlightRequest lost) {
        return !hasBegun(lost)
                && lost.traits().stream().anyMatch(trait -> trait.isPromptPart() && !ledger.isServed(trait));
    }

    /** Returns whether a generation has been running for long enough at its target not to crash it any more. */
    boolean hasBegun(InFlightRequest inFlight) {
        return inFlight.generatingFor(timer.nanos())
                .filter(time -> time.compareTo(BEGUN_AFTER) >= 0)
                .isPresent();
    }

    /** Records that a target has served a request, or has been generating for {@link #hasBegun long enough}. */
    void onServed(InFlightRequest inFlight) {
        Duration age = inFlight.generatingFor(timer.nanos()).orElse(Duration.ZERO);
        Set<Trait> cleared = ledger.addServed(inFlight.traits(), age);
        if (!cleared.isEmpty()) {
            reportServed(cleared, age);
        }
    }

    /** Applies the reports of other instances. */
    void onTraitReports(List<TraitReport> reports) {
        for (TraitReport report : reports) {
            Set<Trait> traits = report.getTraits().stream().map(Trait::new).collect(Collectors.toSet());
            Duration age = Duration.ofMillis(report.getAgeMs());
            if (report.isSetCrashedTarget()) {
                TargetId target = new TargetId(report.getCrashedTarget());
                ledger.addCrash(target, report.getTargetStartedMs(), traits, age);
                shareServed(traits);
            } else {
                ledger.addServedElsewhere(traits, age);
            }
        }
        logQuarantine();
    }

    private void reportServed(Set<Trait> traits, Duration age) {
        report(new TraitReport().setTraits(values(traits)), age);
        logQuarantine();
    }

    private void shareServed(Set<Trait> suspected) {
        ledger.takeUnsharedServed(suspected).forEach((trait, age) -> reportServed(Set.of(trait), age));
    }

    private void report(TraitReport report, Duration age) {
        peers.accept(report.setAgeMs((int) Math.min(Integer.MAX_VALUE, age.toMillis())));
    }

    private static List<String> values(Set<Trait> traits) {
        return traits.stream().map(Trait::value).limit(MAX_REPORTED_TRAITS).toList();
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
        probes.connect(target.address().port(), target.address().host())
                .onSuccess(socket -> {
                    socket.close();
                    state.onListening();
                })
                .onFailure(e -> onCrash(target, suspected, lostAt, e));
    }

    private void onCrash(ForwardTarget target, List<InFlightRequest> suspected, long lostAt, Throwable reason) {
        metrics.countDecision("crash of a target");
        Duration age = Duration.ofNanos(timer.nanos() - lostAt);
        Set<Trait> traits = new LinkedHashSet<>();
        suspected.forEach(inFlight -> traits.addAll(inFlight.traits()));
        ledger.addCrash(target.id(), target.startedMs(), traits, age);
        if (!traits.isEmpty()) {
            TraitReport report = new TraitReport()
                    .setTraits(values(traits))
                    .setCrashedTarget(target.id().value())
                    .setTargetStartedMs(target.startedMs());
            report(report, age);
            shareServed(traits);
        }
        suspected.forEach(inFlight -> LogEvent.of("target.crashed")
                .request(inFlight.requestId())
                .with("target", target.id())
                .with("traits", inFlight.traits())
                .with(
                        "generatingMs",
                        inFlight.generatingFor(lostAt).map(Duration::toMillis).orElse(-1L))
                .with("reason", reason.getMessage())
                .info(LOG));
        logQuarantine();
    }

    private void logQuarantine() {
        List<Set<Trait>> quarantined = ledger.quarantined();
        if (!quarantined.equals(loggedQuarantine)) {
            loggedQuarantine = quarantined;
            LogEvent.of("traits.quarantined").with("traits", quarantined).warn(LOG);
        }
    }
}
