package org.verbenatally.peer;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.verbenatally.core.SourceRevision;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetEntry;

/**
 * The published targets, which instances replicate to each other; the latest revision of each target wins, and of two
 * records of the same revision the one that is leaving.
 * Thread-safe.
 */
final class PublishedTable {
    private final TimerService timers;
    private final Duration retention;
    private final ReplicatedTable<String, PublishedTarget> targets = new ReplicatedTable<>(
            Comparator.comparing(PublishedTable::revision)
                    .thenComparing(PublishedTable::isLeaving)
                    .thenComparing(PublishedTable::isDeparting),
            PublishedTable::isSameContent);
    private final Map<String, Long> unpublishedAt = new HashMap<>();
    /** The newest epoch of all records stored so far, 0 if none stated one. */
    private long newestEpoch;
    /** Whether records of more than one epoch were stored. */
    private boolean restored;

    /**
     * Creates an empty table.
     *
     * @param timers the clock
     * @param retention how long the removal of a target from the published list is remembered
     */
    PublishedTable(TimerService timers, Duration retention) {
        this.timers = Objects.requireNonNull(timers, "timers");
        this.retention = Objects.requireNonNull(retention, "retention");
    }

    private static SourceRevision revision(PublishedTarget target) {
        return new SourceRevision(target.getEpoch(), target.getRevision());
    }

    private static boolean isLeaving(PublishedTarget target) {
        return target.getEntry() != null && target.getEntry().isLeaving();
    }

    private static boolean isDeparting(PublishedTarget target) {
        return target.getEntry() != null && target.getEntry().isDeparting();
    }

    /**
     * Returns whether two published targets differ only in their revision within an epoch, which changes with each
     * heartbeat, or in the remaining time of a slow start, whose end alone counts as a change.
     */
    private static boolean isSameContent(PublishedTarget a, PublishedTarget b) {
        if (a.getEpoch() != b.getEpoch()) {
            return false;
        }
        TargetEntry before = a.getEntry();
        TargetEntry after = b.getEntry();
        if (before == null || after == null) {
            return before == after;
        }
        if (before.getColdMs() == after.getColdMs()) {
            return before.equals(after);
        }
        boolean sameColdState = before.getColdMs() > 0 == after.getColdMs() > 0;
        return sameColdState && new TargetEntry(before).setColdMs(0).equals(new TargetEntry(after).setColdMs(0));
    }

    /**
     * Returns a record that a peer has sent, with its epoch. Instances of an earlier release state none; their records
     * are taken to be of the only epoch known here. Once there are several, they count as earlier than all of them,
     * since such an instance does not know which of its records are of before the restore.
     */
    synchronized PublishedTarget withEpoch(PublishedTarget received) {
        return received.isSetEpoch() || newestEpoch == 0 || restored
                ? received
                : received.deepCopy().setEpoch(newestEpoch);
    }

    /**
     * Stores a published target if it is newer than the current one.
     *
     * @param sourceLink the link it arrived on, or {@link ReplicatedTable#LOCAL}
     * @return whether it changed
     */
    synchronized boolean put(PublishedTarget target, int sourceLink) {
        restored |= newestEpoch != 0 && target.isSetEpoch() && target.getEpoch() != newestEpoch;
        newestEpoch = Math.max(newestEpoch, target.getEpoch());
        boolean changed = targets.put(target.getTarget(), target, sourceLink);
        if (changed && target.getEntry() == null) {
            unpublishedAt.put(target.getTarget(), timers.nanos());
        } else if (changed) {
            unpublishedAt.remove(target.getTarget());
        }
        return changed;
    }

    /** Returns the targets that have not been sent on a link yet; see {@link ReplicatedTable#changes}. */
    ReplicatedTable.Batch<PublishedTarget> changes(long since, int link, int maxTargets) {
        return targets.changes(since, link, maxTargets);
    }

    /** Returns whether there are changes that have not been sent on a link yet. */
    boolean hasChanges(long since, int link) {
        return targets.hasChanges(since, link);
    }

    /** Forgets targets that were removed from the published list longer ago than the retention time. */
    synchronized void tick() {
        long now = timers.nanos();
        unpublishedAt.entrySet().removeIf(unpublished -> {
            boolean expired = now - unpublished.getValue() > retention.toNanos();
            if (expired) {
                targets.remove(unpublished.getKey());
            }
            return expired;
        });
    }
}
