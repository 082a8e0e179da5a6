package org.verbenatally.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.LogEvent;
import org.verbenatally.core.SourceRevision;
import org.verbenatally.core.Step;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.DomainEvacuation;

/**
 * The evacuations of failure domains, which instances replicate to each other; the latest revision of each domain wins,
 * and of two records of the same revision the one that is evacuated. Each new revision is passed on, as there are few.
 * Thread-safe.
 */
final class EvacuationRecords {
    private static final Logger LOG = Logger.getLogger(EvacuationRecords.class);

    /** Domains of which records are kept, as many as an instance applies. */
    static final int MAX_DOMAINS = 256;

    private final TimerService timers;
    private final Duration retention;
    private final ReplicatedTable<String, DomainEvacuation> records = new ReplicatedTable<>(
            Comparator.comparing(EvacuationRecords::revision).thenComparing(DomainEvacuation::isEvacuated),
            DomainEvacuation::equals);
    /** When the evacuation of a domain was found to have ended; empty while it is evacuated. */
    private final Map<String, Optional<Long>> endedAt = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param timers the clock
     * @param retention how long the end of an evacuation is remembered
     */
    EvacuationRecords(TimerService timers, Duration retention) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.retention = Objects.requireNonNull(retention, "retention");
    }

    private static SourceRevision revision(DomainEvacuation evacuation) {
        return new SourceRevision(evacuation.getEpoch(), evacuation.getRevision());
    }

    /**
     * Stores a valid record if it is newer than the current one. A record of a further domain is not stored if the
     * table is full of evacuated ones.
     *
     * @param sourceLink the link it arrived on, or {@link ReplicatedTable#LOCAL}
     * @return whether it changed
     */
    synchronized boolean put(DomainEvacuation evacuation, int sourceLink) {
        String domain = evacuation.getFailureDomain();
        if (!endedAt.containsKey(domain) && endedAt.size() >= MAX_DOMAINS && !makeSpace()) {
            return false;
        }
        boolean changed = records.put(domain, evacuation, sourceLink);
        if (changed) {
            endedAt.put(domain, evacuation.isEvacuated() ? Optional.empty() : Optional.of(timers.nanos()));
        }
        return changed;
    }

    /**
     * Stores records that a peer has sent and returns those that changed. Invalid ones are logged and have no effect on
     * others, since instances of different versions may differ in the domains that they accept.
     *
     * @param peer name of the peer, for the log
     * @param sourceLink the link that they arrived on
     */
    List<DomainEvacuation> receive(Collection<DomainEvacuation> received, String peer, int sourceLink) {
        List<DomainEvacuation> changed = new ArrayList<>();
        int invalid = 0;
        String reason = "";
        for (DomainEvacuation evacuation : received) {
            try {
                validate(evacuation);
                if (put(evacuation, sourceLink)) {
                    changed.add(evacuation);
                }
            } catch (IllegalArgumentException e) {
                invalid++;
                reason = e.getMessage();
            }
        }
        if (invalid > 0) {
            LogEvent.of("evacuation.bad")
                    .with("step", Step.CONFIGURE)
                    .with("peer", peer)
                    .with("records", invalid)
                    .with("reason", reason)
                    .warn(LOG);
        }
        return changed;
    }

    private static void validate(DomainEvacuation evacuation) {
        new FailureDomain(evacuation.getFailureDomain());
        if (evacuation.getEpoch() < 0 || evacuation.getRevision() < 0) {
            throw new IllegalArgumentException("epoch and revision must not be negative: " + evacuation.getEpoch() + "."
                    + evacuation.getRevision());
        }
    }

    /** Returns the records that have not been sent on a link yet; see {@link ReplicatedTable#changes}. */
    ReplicatedTable.Batch<DomainEvacuation> changes(long since, int link, int maxRecords) {
        return records.changes(since, link, maxRecords);
    }

    /** Returns whether there are changes that have not been sent on a link yet. */
    boolean hasChanges(long since, int link) {
        return records.hasChanges(since, link);
    }

    /** Forgets the evacuation that ended first; returns whether there was one. */
    private boolean makeSpace() {
        Optional<String> oldest = endedAt.entrySet().stream()
                .filter(entry -> entry.getValue().isPresent())
                .min(Comparator.comparingLong(entry -> entry.getValue().orElseThrow()))
                .map(Map.Entry::getKey);
        oldest.ifPresent(domain -> {
            endedAt.remove(domain);
            records.remove(domain);
        });
        return oldest.isPresent();
    }

    /** Forgets evacuations that ended longer ago than the retention time. */
    synchronized void tick() {
        long now = timers.nanos();
        endedAt.entrySet().removeIf(entry -> {
            boolean expired = entry.getValue()
                    .filter(at -> now - at > retention.toNanos())
                    .isPresent();
            if (expired) {
                records.remove(entry.getKey());
            }
            return expired;
        });
    }
}
