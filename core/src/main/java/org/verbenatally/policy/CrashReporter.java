package org.verbenatally.policy;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.jboss.logging.Logger;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TraitReport;

/**
 * Keeps the {@link CrashLedger} of an instance in line with those of the others: tells them of the crashes that this
 * instance sees and of the suspected requests that are served here, and applies what they tell. Safe for use by several
 * threads.
 */
public final class CrashReporter {
    /** Maximum number of traits in one report, as peers accept it. */
    private static final int MAX_TRAITS = 256;

    private static final Logger LOG = Logger.getLogger(CrashReporter.class);

    private final CrashLedger ledger;
    private final Consumer<TraitReport> peers;
    private volatile List<Set<Trait>> loggedQuarantine = List.of();

    /**
     * Creates a reporter.
     *
     * @param ledger ledger of this instance
     * @param peers sends a report to all other instances
     */
    public CrashReporter(CrashLedger ledger, Consumer<TraitReport> peers) {
        this.ledger = Objects.requireNonNull(ledger, "ledger");
        this.peers = Objects.requireNonNull(peers, "peers");
    }

    /** Creates the reporter of an instance without peers. */
    public static CrashReporter withoutPeers(TimerService timer) {
        return new CrashReporter(new CrashLedger(timer, () -> 1), report -> {});
    }

    /** Returns the ledger. */
    public CrashLedger ledger() {
        return ledger;
    }

    /** Records a crash that this instance has seen; see {@link CrashLedger#addCrash}. */
    public void recordCrash(TargetId target, long run, Set<Trait> traits, Duration age) {
        if (traits.isEmpty()) {
            return;
        }
        ledger.addCrash(target, run, traits, age);
        TraitReport report = new TraitReport()
                .setTraits(values(traits))
                .setCrashedTarget(target.value())
                .setTargetStartedMs(run);
        report(report, age);
        shareServed(traits);
        logQuarantine();
    }

    /** Records that a request was served here; see {@link CrashLedger#addServed}. */
    public void recordServed(Set<Trait> traits, Duration age) {
        Set<Trait> cleared = ledger.addServed(traits, age);
        if (!cleared.isEmpty()) {
            reportServed(cleared, age);
            logQuarantine();
        }
    }

    /** Applies the reports of other instances. */
    public void receive(List<TraitReport> reports) {
        for (TraitReport report : reports) {
            Set<Trait> traits = report.getTraits().stream().map(Trait::new).collect(Collectors.toSet());
            Duration age = Duration.ofMillis(report.getAgeMs());
            if (report.isSetCrashedTarget()) {
                ledger.addCrash(new TargetId(report.getCrashedTarget()), report.getTargetStartedMs(), traits, age);
                shareServed(traits);
            } else {
                ledger.addServedElsewhere(traits, age);
            }
        }
        logQuarantine();
    }

    private void shareServed(Set<Trait> suspected) {
        ledger.takeUnsharedServed(suspected).forEach((trait, age) -> reportServed(Set.of(trait), age));
    }

    private void reportServed(Set<Trait> traits, Duration age) {
        report(new TraitReport().setTraits(values(traits)), age);
    }

    private void report(TraitReport report, Duration age) {
        peers.accept(report.setAgeMs((int) Math.min(Integer.MAX_VALUE, age.toMillis())));
    }

    private static List<String> values(Set<Trait> traits) {
        return traits.stream().map(Trait::value).limit(MAX_TRAITS).toList();
    }

    private void logQuarantine() {
        List<Set<Trait>> quarantined = ledger.quarantined();
        if (!quarantined.equals(loggedQuarantine)) {
            loggedQuarantine = quarantined;
            LogEvent.of("traits.quarantined").with("traits", quarantined).warn(LOG);
        }
    }
}
