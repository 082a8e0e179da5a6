package org.verbenatally.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.verbenatally.core.Incarnation;
import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.core.Trait;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.TraitReport;

/**
 * Reports on the traits of requests, which instances replicate to each other. Reports do not change. At most 1,024 are
 * kept, each until it is 15 minutes old. Thread-safe.
 */
final class TraitReportTable {
    private static final int MAX_REPORTS = 1_024;
    /** Maximum number of traits in one report; keeps a batch of reports well below the frame limit. */
    static final int MAX_TRAITS = 256;

    private static final long LIFETIME_MS = TimeUnit.MINUTES.toMillis(15);

    private record Key(Run run, long number) {}

    /**
     * A report as it is kept.
     *
     * @param report the report; its age is out of date
     * @param nanos monotonic time at which its age was 0
     */
    private record Kept(TraitReport report, long nanos) {
        long ageMs(long now) {
            return TimeUnit.NANOSECONDS.toMillis(now - nanos);
        }
    }

    private final Run self;
    private final TimerService timers;
    private final ReplicatedTable<Key, Kept> table = new ReplicatedTable<>(
            (a, b) -> 0, (a, b) -> a.report().getNumber() == b.report().getNumber());
    /** Times at which the age of each report was 0, in the order in which they were stored. */
    private final Map<Key, Long> stored = new LinkedHashMap<>();

    private long lastNumber;

    TraitReportTable(Run self, TimerService timers) {
        this.self = Objects.requireNonNull(self, "self");
        this.timers = Objects.requireNonNull(timers, "timers");
    }

    /** Stores a report of this instance; its instance, incarnation and number are set here. */
    synchronized void addOwn(TraitReport report) {
        TraitReport numbered = new TraitReport(report)
                .setInstance(self.instance().value())
                .setIncarnation(self.incarnation().value())
                .setNumber(++lastNumber);
        put(new Key(self, lastNumber), numbered, ReplicatedTable.LOCAL);
    }

    /**
     * Stores reports that a peer has passed on, and returns those that are new.
     *
     * @throws IllegalArgumentException if a field is invalid; nothing is stored in this case
     */
    synchronized List<TraitReport> receive(List<TraitReport> reports, int sourceLink) {
        Map<Key, TraitReport> checked = new LinkedHashMap<>();
        reports.forEach(report -> checked.put(checkedKey(report), report));
        List<TraitReport> added = new ArrayList<>();
        checked.forEach((key, report) -> {
            if (report.getAgeMs() < LIFETIME_MS && !key.run().equals(self) && put(key, report, sourceLink)) {
                added.add(report);
            }
        });
        return added;
    }

    private static Key checkedKey(TraitReport report) {
        if (report.getAgeMs() < 0) {
            throw new IllegalArgumentException("age of a trait report must not be negative");
        }
        if (report.getTraitsSize() > MAX_TRAITS) {
            throw new IllegalArgumentException("a trait report must not have more than " + MAX_TRAITS + " traits");
        }
        report.getTraits().forEach(Trait::new);
        if (report.isSetCrashedTarget()) {
            new TargetId(report.getCrashedTarget());
        }
        Run run = new Run(new InstanceId(report.getInstance()), new Incarnation(report.getIncarnation()));
        return new Key(run, report.getNumber());
    }

    private boolean put(Key key, TraitReport report, int sourceLink) {
        long nanos = timers.nanos() - TimeUnit.MILLISECONDS.toNanos(report.getAgeMs());
        boolean added = table.put(key, new Kept(report, nanos), sourceLink);
        if (added) {
            stored.put(key, nanos);
        }
        if (stored.size() > MAX_REPORTS) {
            Key oldest = stored.keySet().iterator().next();
            stored.remove(oldest);
            table.remove(oldest);
        }
        return added;
    }

    /** Removes the reports that are too old. */
    synchronized void tick() {
        long now = timers.nanos();
        stored.entrySet().removeIf(entry -> {
            boolean expired = TimeUnit.NANOSECONDS.toMillis(now - entry.getValue()) >= LIFETIME_MS;
            if (expired) {
                table.remove(entry.getKey());
            }
            return expired;
        });
    }

    /** Returns whether there are reports that have not been sent on a link yet. */
    boolean hasChanges(long since, int link) {
        return table.hasChanges(since, link);
    }

    /** Returns up to {@code maxReports} reports that have not been sent on a link yet, with their present ages. */
    ReplicatedTable.Batch<TraitReport> changes(long since, int link, int maxReports) {
        ReplicatedTable.Batch<Kept> batch = table.changes(since, link, maxReports);
        long now = timers.nanos();
        List<TraitReport> reports = batch.values().stream()
                .map(kept -> new TraitReport(kept.report()).setAgeMs((int) kept.ageMs(now)))
                .toList();
        return new ReplicatedTable.Batch<>(reports, batch.serial(), batch.complete());
    }
}
