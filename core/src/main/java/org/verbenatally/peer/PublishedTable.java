package org.verbenatally.peer;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import org.verbenatally.time.TimerService;
import org.verbenatally.wire.PublishedTarget;
import org.verbenatally.wire.TargetEntry;

/**
 * The published entries of targets that instances pass on to each other; of two the one with the higher revision
 * counts. Safe for use by several threads.
 */
final class PublishedTable {
    private final TimerService timer;
    private final Duration memory;
    private final NewestRows<String, PublishedTarget> rows =
            new NewestRows<>(Comparator.comparingLong(PublishedTarget::getRevision), PublishedTable::saysSame);
    private final Map<String, Long> withdrawn = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param timer clock
     * @param memory how long it is remembered that a target is no longer published
     */
    PublishedTable(TimerService timer, Duration memory) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.memory = Objects.requireNonNull(memory, "memory");
    }

    /** Heartbeats change the revision alone. How long a target is still slow is told only when that is over. */
    private static boolean saysSame(PublishedTarget a, PublishedTarget b) {
        TargetEntry before = a.getEntry();
        TargetEntry after = b.getEntry();
        if (before == null || after == null) {
            return before == after;
        }
        if (before.getColdMs() == after.getColdMs()) {
            return before.equals(after);
        }
        boolean samePace = before.getColdMs() > 0 == after.getColdMs() > 0;
        return samePace && new TargetEntry(before).setColdMs(0).equals(new TargetEntry(after).setColdMs(0));
    }

    /**
     * Stores an entry unless the present one is as new.
     *
     * @param via the link that it came by, or {@link NewestRows#LOCAL}
     * @return whether it says something new
     */
    synchronized boolean put(PublishedTarget entry, int via) {
        boolean news = rows.put(entry.getTarget(), entry, via);
        if (news && entry.getEntry() == null) {
            withdrawn.put(entry.getTarget(), timer.nanos());
        } else if (news) {
            withdrawn.remove(entry.getTarget());
        }
        return news;
    }

    /** Returns what a link has not been sent yet; see {@link NewestRows#changes}. */
    NewestRows.Batch<PublishedTarget> changes(long since, int link, int most) {
        return rows.changes(since, link, most);
    }

    /** Returns whether a link has not been sent all that it lacks. */
    boolean hasChanges(long since, int link) {
        return rows.hasChanges(since, link);
    }

    /** Forgets targets that have not been published for long. */
    synchronized void tick() {
        long now = timer.nanos();
        withdrawn.entrySet().removeIf(entry -> {
            boolean old = now - entry.getValue() > memory.toNanos();
            if (old) {
                rows.remove(entry.getKey());
            }
            return old;
        });
    }
}
