package org.verbenatally.forward.evacuation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.verbenatally.core.FailureDomain;
import org.verbenatally.core.SourceRevision;

/**
 * The evacuations known to one instance. Of two records of a domain the one of the later revision counts, whichever
 * instance has read it. Has no clock: times are those of a monotonic clock, in nanoseconds. Safe for use by several
 * threads.
 */
public final class EvacuationTable {
    /** Domains of which records are kept. */
    public static final int MAX_DOMAINS = 256;

    /**
     * Time for which the end of an evacuation is remembered. It is longer than a message can be under way; an older
     * record that comes later still is recognised by the revision up to which the source was read.
     */
    static final Duration RETENTION = Duration.ofMinutes(10);

    /**
     * Share of the bound within which copies are ordered, as its divisor: the other half is left for a watch that
     * reports late and for the order to arrive.
     */
    private static final int ORDER_DIVISOR = 2;

    /** Percentage of that time over which generations begin to move, so that the last ones have time to be copied. */
    private static final int SPREAD_PERCENT = 60;

    private static final int PERCENT = 100;

    private static final int HASH_STEPS = 1_000;
    /** Multiplier of Fibonacci hashing, whose upper bits differ for successive ids. */
    private static final int HASH_FACTOR = 0x9E3779B1;

    private static final int HASH_SHIFT = 12;

    private final Optional<Duration> bound;
    private final Map<FailureDomain, Entry> entries = new ConcurrentHashMap<>();
    /** Revision up to which this instance has read all evacuations itself, {@code null} if it has read none. */
    private SourceRevision completeAt;
    /**
     * Domains of which the last complete read does not tell whether they are evacuated: their entries could not be read
     * or stored. That such a domain is not in the table does not mean that its evacuation has ended.
     */
    private final Set<FailureDomain> undecided = new HashSet<>();

    private volatile boolean known;

    /**
     * A record, when its state began here, and the same time again if the own watch has reported it; without that it is
     * not known how long ago the source has accepted the evacuation.
     */
    private record Entry(Evacuation evacuation, long since, Optional<Long> watchedAt) {}

    /**
     * What a read or message has changed.
     *
     * @param begun evacuations that have begun
     * @param ended evacuations that have ended
     * @param news records that the other instances may lack
     * @param rejected records for which there is no space
     */
    public record Changes(
            List<Evacuation> begun, List<Evacuation> ended, List<Evacuation> news, List<Evacuation> rejected) {
        private Changes() {
            this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        }
    }

    /**
     * Creates an empty table.
     *
     * @param bound time after which an evacuated domain must get no requests; empty if evacuations are not followed
     */
    public EvacuationTable(Optional<Duration> bound) {
        this.bound = Objects.requireNonNull(bound, "bound");
        this.known = bound.isEmpty();
    }

    /** Returns whether evacuations are followed. */
    public boolean isEnabled() {
        return bound.isPresent();
    }

    /**
     * Returns whether the evacuations are known, from a read of this instance or from another one; always if they are
     * not followed. Until then, any domain may be evacuated.
     */
    public boolean isKnown() {
        return known;
    }

    /**
     * Records that another instance that knows the evacuations has sent all of them. Returns whether they were not
     * known before.
     */
    public synchronized boolean markKnown() {
        boolean changed = !known;
        known = true;
        return changed;
    }

    /**
     * Applies a complete read by this instance. An evacuation that it lacks has ended. A read of an earlier epoch than
     * one before has no effect.
     *
     * @param at revision of the read
     * @param present evacuations that were read
     * @param unreadable domains whose entries cannot be read; what is known of them stays in force
     * @param now present time
     */
    public synchronized Changes applyRead(
            SourceRevision at, Collection<Evacuation> present, Set<FailureDomain> unreadable, long now) {
        Changes changes = new Changes();
        if (isOfOldEpoch(at)) {
            return changes;
        }
        undecided.clear();
        undecided.addAll(unreadable);
        Set<FailureDomain> listed = new HashSet<>(unreadable);
        present.forEach(evacuation -> {
            listed.add(evacuation.domain());
            store(evacuation, Optional.empty(), now, changes);
        });
        List.copyOf(entries.values()).stream()
                .map(Entry::evacuation)
                .filter(Evacuation::evacuated)
                .filter(evacuation -> !listed.contains(evacuation.domain()) && at.isAfter(evacuation.revision()))
                .forEach(evacuation ->
                        store(new Evacuation(evacuation.domain(), at, false), Optional.empty(), now, changes));
        advance(at);
        known = true;
        removeExpired(now);
        return changes;
    }

    /**
     * Applies changes that a watch of this instance has reported, which the source has accepted just before.
     *
     * @param at revision up to which the watch has reported all changes
     * @param changed the changed evacuations
     * @param now present time
     */
    public synchronized Changes applyWatch(SourceRevision at, Collection<Evacuation> changed, long now) {
        Changes changes = new Changes();
        changed.forEach(evacuation -> store(evacuation, Optional.of(now), now, changes));
        if (completeAt != null && completeAt.epoch() == at.epoch()) {
            advance(at);
        }
        removeExpired(now);
        return changes;
    }

    /**
     * Applies records of other instances. The end of an evacuation that this instance has forgotten is among the news,
     * as the other instance does not know of it.
     */
    public synchronized Changes applyPeer(Collection<Evacuation> records, long now) {
        Changes changes = new Changes();
        for (Evacuation record : records) {
            boolean forgotten = record.evacuated()
                    && !entries.containsKey(record.domain())
                    && !undecided.contains(record.domain())
                    && completeAt != null
                    && !record.revision().isAfter(completeAt);
            if (forgotten) {
                store(new Evacuation(record.domain(), completeAt, false), Optional.empty(), now, changes);
            } else {
                Changes stored = new Changes();
                store(record, Optional.empty(), now, stored);
                changes.begun().addAll(stored.begun());
                changes.ended().addAll(stored.ended());
                changes.rejected().addAll(stored.rejected());
            }
        }
        removeExpired(now);
        return changes;
    }

    /** Returns whether a response is of before a restore of the source that this instance has seen itself. */
    private boolean isOfOldEpoch(SourceRevision at) {
        return completeAt != null && at.epoch() < completeAt.epoch();
    }

    private void advance(SourceRevision at) {
        if (completeAt == null || at.isAfter(completeAt)) {
            completeAt = at;
        }
    }

    private void store(Evacuation next, Optional<Long> watchedAt, long now, Changes changes) {
        Entry before = entries.get(next.domain());
        if (before != null && !next.replaces(before.evacuation())) {
            if (watchedAt.isPresent()
                    && next.equals(before.evacuation())
                    && before.watchedAt().isEmpty()) {
                // A peer was faster than the own watch, which alone shows that the evacuation is recent. The time of
                // the peer's record is the earlier one.
                entries.put(next.domain(), new Entry(next, before.since(), Optional.of(before.since())));
            }
            return;
        }
        if (before == null && entries.size() >= MAX_DOMAINS && !makeSpace()) {
            undecided.add(next.domain());
            changes.rejected().add(next);
            return;
        }
        boolean wasEvacuated = before != null && before.evacuation().evacuated();
        // A later record of an evacuation that was not seen to end does not extend the time for copies.
        boolean goesOn = wasEvacuated && next.evacuated();
        entries.put(
                next.domain(), new Entry(next, goesOn ? before.since() : now, goesOn ? before.watchedAt() : watchedAt));
        changes.news().add(next);
        if (next.evacuated() && !wasEvacuated) {
            changes.begun().add(next);
        } else if (!next.evacuated() && wasEvacuated) {
            changes.ended().add(next);
        }
    }

    /** Forgets the evacuation that ended first; returns whether there was one. */
    private boolean makeSpace() {
        return entries.values().stream()
                .filter(entry -> !entry.evacuation().evacuated())
                .min(Comparator.comparingLong(Entry::since))
                .map(entry -> entries.remove(entry.evacuation().domain()))
                .isPresent();
    }

    private void removeExpired(long now) {
        entries.values()
                .removeIf(entry -> !entry.evacuation().evacuated() && now - entry.since() > RETENTION.toNanos());
    }

    /** Returns whether the targets of a domain must get no requests. */
    public boolean isEvacuated(FailureDomain domain) {
        Entry entry = entries.get(domain);
        return bound.isPresent() && entry != null && entry.evacuation().evacuated();
    }

    /** Returns how many domains are evacuated. */
    public int evacuatedCount() {
        return (int) entries.values().stream()
                .filter(entry -> entry.evacuation().evacuated())
                .count();
    }

    /**
     * Returns whether an order to copy a generation, sent now to an engine of the domain, arrives before the bound: the
     * domain is not evacuated, or its evacuation was reported by the own watch and the first part of the bound has not
     * passed since. An evacuation known from a complete read or from a peer alone may have begun long before.
     */
    public boolean mayOrderCopy(FailureDomain domain, long now) {
        return !isEvacuated(domain)
                || orderTime(domain, now).filter(left -> !left.isNegative()).isPresent();
    }

    /**
     * Returns whether a generation in an evacuated domain should begin to move now. Generations begin at times that
     * differ by their ids, so that instances do not all choose the same engines before they see each other's load.
     *
     * @param id id of the generation
     */
    public boolean isMoveDue(FailureDomain domain, String id, long now) {
        Entry entry = entries.get(domain);
        if (bound.isEmpty() || entry == null || !entry.evacuation().evacuated()) {
            return false;
        }
        double share = (double) Math.floorMod((id.hashCode() * HASH_FACTOR) >>> HASH_SHIFT, HASH_STEPS) / HASH_STEPS;
        return now - entry.since() >= (long) (share * spread().toNanos());
    }

    /** Returns the time after which all generations of an evacuated domain have begun to move. */
    public Duration spread() {
        return bound.orElse(Duration.ZERO)
                .dividedBy(ORDER_DIVISOR)
                .multipliedBy(SPREAD_PERCENT)
                .dividedBy(PERCENT);
    }

    private Optional<Duration> orderTime(FailureDomain domain, long now) {
        return Optional.ofNullable(entries.get(domain))
                .flatMap(Entry::watchedAt)
                .map(since ->
                        bound.orElse(Duration.ZERO).dividedBy(ORDER_DIVISOR).minusNanos(now - since));
    }

    /** Returns all records by domain. */
    synchronized Map<FailureDomain, Evacuation> records() {
        Map<FailureDomain, Evacuation> all = new HashMap<>();
        entries.values().forEach(entry -> all.put(entry.evacuation().domain(), entry.evacuation()));
        return all;
    }
}
