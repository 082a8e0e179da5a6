package org.verbenatally.forward.cold;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.verbenatally.core.InstanceId;
import org.verbenatally.time.TimerService;

/**
 * The instances that were seen lately, also those that have died or cannot be reached at present: an instance that is
 * cut off must not assume that it is alone. Safe for use by several threads.
 */
public final class KnownMembers {
    /** Time for which an instance that is no longer seen counts as a member: the longest partition that is assumed. */
    public static final Duration RETENTION = Duration.ofMinutes(10);
    /**
     * Time after the first contact until an instance uses cold targets. In a large fleet, the record of a new member
     * passes a few links with a frame each second; how long this takes at 330 instances was not measured.
     */
    public static final Duration SETTLING_TIME = Duration.ofSeconds(5);
    /** Largest number of instances that are kept, as in the member table. */
    private static final int MAX_MEMBERS = 8_192;

    /** How certain an instance is to know the fleet. */
    public enum Standing {
        /** It has not heard of the fleet yet, or was paused lately; it must send nothing to cold targets. */
        UNKNOWN,
        /** It knows the members that it can reach, but may have started during a partition. */
        RECENT,
        /** It has been in contact for longer than a partition lasts, so it knows all others of which this is true. */
        SETTLED
    }

    private final TimerService timer;
    private final InstanceId self;
    private final BooleanSupplier hasSeeds;
    private final Duration retention;
    private final Duration settlingTime;
    private final Map<InstanceId, Long> lastSeen = new HashMap<>();
    private Set<InstanceId> ids;
    private long version;
    private boolean inContact;
    private long inContactSince;
    private long pauseGeneration;
    private long resumedAt;

    /**
     * Creates an empty table.
     *
     * @param self id of this instance
     * @param hasSeeds whether other instances are configured; without any, this one may be the only one
     */
    public KnownMembers(TimerService timer, InstanceId self, BooleanSupplier hasSeeds) {
        this(timer, self, hasSeeds, RETENTION, SETTLING_TIME);
    }

    KnownMembers(
            TimerService timer, InstanceId self, BooleanSupplier hasSeeds, Duration retention, Duration settlingTime) {
        this.timer = Objects.requireNonNull(timer, "timer");
        this.self = Objects.requireNonNull(self, "self");
        this.hasSeeds = Objects.requireNonNull(hasSeeds, "hasSeeds");
        this.retention = Objects.requireNonNull(retention, "retention");
        this.settlingTime = Objects.requireNonNull(settlingTime, "settlingTime");
        this.ids = Set.of(self);
        this.pauseGeneration = timer.pauseGeneration();
        this.resumedAt = timer.nanos() - settlingTime.toNanos();
    }

    /**
     * Records the instances that are members at present.
     *
     * @param present their ids; those of members that have gone are left out
     */
    public synchronized void update(Collection<InstanceId> present) {
        long now = timer.nanos();
        checkPause(now);
        present.forEach(id -> lastSeen.put(id, now));
        lastSeen.remove(self);
        lastSeen.values().removeIf(seen -> now - seen > retention.toNanos());
        if (lastSeen.size() > MAX_MEMBERS) {
            lastSeen.entrySet().stream()
                    .sorted(Map.Entry.comparingByValue(Comparator.naturalOrder()))
                    .limit(lastSeen.size() - MAX_MEMBERS)
                    .map(Map.Entry::getKey)
                    .toList()
                    .forEach(lastSeen::remove);
        }
        if (!inContact && (!lastSeen.isEmpty() || !hasSeeds.getAsBoolean())) {
            inContact = true;
            inContactSince = now;
        }
        Set<InstanceId> others = lastSeen.keySet();
        if (others.size() + 1 != ids.size() || !ids.containsAll(others)) {
            Set<InstanceId> next = new HashSet<>(others);
            next.add(self);
            ids = Set.copyOf(next);
            version++;
        }
    }

    /** The members that joined while the process was paused are heard of only afterwards. */
    private void checkPause(long now) {
        if (timer.pauseGeneration() != pauseGeneration) {
            pauseGeneration = timer.pauseGeneration();
            resumedAt = now;
        }
    }

    /** Returns how certain this instance is to know the fleet. */
    synchronized Standing standing() {
        long now = timer.nanos();
        checkPause(now);
        if (!inContact || now - inContactSince < settlingTime.toNanos() || now - resumedAt < settlingTime.toNanos()) {
            return Standing.UNKNOWN;
        }
        return now - inContactSince < retention.toNanos() ? Standing.RECENT : Standing.SETTLED;
    }

    /** Returns the ids of all known instances, this one included. */
    synchronized Set<InstanceId> ids() {
        return ids;
    }

    /** Returns a number that changes whenever {@link #ids} changes. */
    synchronized long version() {
        return version;
    }

    InstanceId self() {
        return self;
    }
}
