package org.verbenatally.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jboss.logging.Logger;
import org.verbenatally.core.Address;
import org.verbenatally.core.ConfigVersion;
import org.verbenatally.core.InstanceId;
import org.verbenatally.peer.MemberInfo.Status;
import org.verbenatally.peer.MemberRecord.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Beats;
import org.verbenatally.wire.MemberState;

/**
 * The member table. It is independent of the links themselves: records and heartbeats are passed in with the number of
 * the link they arrived on, and {@link #changes} returns what has not been sent on a link yet. Thread-safe.
 */
final class Membership {
    private static final Logger LOG = Logger.getLogger(Membership.class);

    /** Maximum number of records in the table; only a faulty peer can send more. */
    private static final int MAX_RECORDS = 8_192;

    /** A forgotten run leaves a tombstone for this many forget periods, so that a slow peer cannot reintroduce it. */
    private static final int TOMBSTONE_PERIODS = 12;

    /** The request for an unknown record is repeated after this many gossip periods. */
    private static final int REQUEST_RETRY_PERIODS = 4;

    /** Source link number of a change made by this instance. */
    static final int LOCAL = -1;

    /** Placeholder for records whose hashes collide; their heartbeats are sent as complete records. */
    private static final TrackedRun COLLISION = new TrackedRun();

    private final Run self;
    private final PeerTimings timings;
    private final TimerService timers;
    private final Map<Run, TrackedRun> runs = new TreeMap<>();
    private final Map<InstanceId, TrackedRun> latestRuns = new TreeMap<>();
    private final Map<Integer, TrackedRun> byHash = new HashMap<>();
    private final Map<Integer, Long> requestedAt = new HashMap<>();
    private final Map<Run, Tombstone> tombstones = new HashMap<>();
    private long serial = 1;
    private long pauseGeneration;
    private long staleUntil;
    private long nextHeartbeat;
    private int fleetSize;
    private long suspectNanos;
    private long goneNanos;
    private boolean duplicateIdSeen;

    /**
     * A run with the time at which its heartbeat last advanced, in nanoseconds of the timer service, and for its state
     * and its heartbeat the serial number and the source link of the last change.
     */
    private static final class TrackedRun {
        private MemberRecord member;
        private int hash;
        private long lastAdvance;
        private long stateSerial;
        private int stateSource;
        private long heartbeatSerial;
        private int heartbeatSource;
        private boolean gone;
    }

    /** A forgotten run: its last heartbeat, the time in nanoseconds at which the tombstone expires, and its address. */
    private record Tombstone(long heartbeat, long until, Address address) {}

    /**
     * Changes that have not been sent on a link yet.
     *
     * @param records records in which more than the heartbeat or the configuration version changed
     * @param heartbeats heartbeats and configuration versions of the records in which only these changed
     * @param serial value to pass to the next call
     */
    record Changes(List<MemberRecord> records, Beats heartbeats, long serial) {}

    Membership(MemberRecord own, PeerTimings timings, TimerService timers) {
        this.self = own.run();
        this.timings = timings;
        this.timers = timers;
        setFleetSize(1);
        pauseGeneration = timers.pauseGeneration();
        nextHeartbeat = timers.nanos();
        put(own, LOCAL);
        // A new instance knows no other members yet, so its table is stale at first, as after a pause.
        staleUntil = timers.nanos() + timings.minSuspectTimeout().toNanos();
    }

    /** Merges records and returns whether any of them shows that a member is leaving, has left or was replaced. */
    synchronized boolean merge(Collection<MemberRecord> received, int sourceLink) {
        checkPause();
        boolean urgent = false;
        for (MemberRecord r : received) {
            urgent |= merge(r, sourceLink);
        }
        return urgent;
    }

    private boolean merge(MemberRecord r, int sourceLink) {
        Tombstone tombstone = tombstones.get(r.run());
        if (r.run().equals(self) || tombstone != null && r.heartbeat() <= tombstone.heartbeat()) {
            return false;
        }
        if (r.run().compareTo(self) > 0 && r.run().instance().equals(self.instance())) {
            warnOfDuplicateId(r);
            return false;
        }
        TrackedRun known = runs.get(r.run());
        TrackedRun latest = latestRuns.get(r.run().instance());
        boolean isEarlierRun = latest != null
                && latest.member.run().incarnation().compareTo(r.run().incarnation()) > 0;
        if (isEarlierRun) {
            if (r.successor().isPresent()) {
                return put(known == null ? r.asLeft() : known.member.merge(r.asLeft()), sourceLink);
            }
            return false;
        }
        if (known == null && runs.size() >= MAX_RECORDS) {
            throw new IllegalArgumentException("more than " + MAX_RECORDS + " member records");
        }
        return put(known == null ? r : known.member.merge(r), sourceLink)
                && (latest != null || r.state() != MemberState.LIVE);
    }

    private void warnOfDuplicateId(MemberRecord r) {
        if (!duplicateIdSeen) {
            duplicateIdSeen = true;
            LOG.errorf(
                    "peer: another instance with id %s runs at %s; instance ids must be unique",
                    self.instance(), r.address());
        }
    }

    /** Stores a record and returns whether more than its heartbeat or configuration version changed. */
    private boolean put(MemberRecord r, int sourceLink) {
        TrackedRun tracked = runs.get(r.run());
        long now = timers.nanos();
        boolean isNew = tracked == null;
        if (isNew) {
            tracked = new TrackedRun();
            tracked.lastAdvance = now;
            runs.put(r.run(), tracked);
            supersede(r.run(), tracked);
        }
        boolean advanced = isNew || r.heartbeat() > tracked.member.heartbeat();
        boolean changed =
                isNew || r.state() != tracked.member.state() || !r.successor().equals(tracked.member.successor());
        if (advanced) {
            tracked.lastAdvance = now;
            tracked.gone &= r.state() == MemberState.LEFT;
        }
        if (advanced || !r.configVersion().equals(tracked.member.configVersion())) {
            tracked.heartbeatSerial = ++serial;
            tracked.heartbeatSource = sourceLink;
        }
        tracked.member = r;
        if (changed) {
            byHash.remove(tracked.hash, tracked);
            tracked.hash = r.hash();
            byHash.merge(tracked.hash, tracked, (a, b) -> a == b ? a : COLLISION);
            tracked.stateSerial = ++serial;
            tracked.stateSource = sourceLink;
        }
        return changed;
    }

    private void supersede(Run run, TrackedRun tracked) {
        TrackedRun before = latestRuns.get(run.instance());
        if (before == null) {
            latestRuns.put(run.instance(), tracked);
        } else if (before.member.run().incarnation().compareTo(run.incarnation()) < 0) {
            latestRuns.put(run.instance(), tracked);
            if (before.member.successor().isPresent()) {
                put(before.member.asLeft(), LOCAL);
            } else {
                remove(before);
            }
        }
    }

    private void remove(TrackedRun tracked) {
        runs.remove(tracked.member.run());
        byHash.remove(tracked.hash, tracked);
        latestRuns.remove(tracked.member.run().instance(), tracked);
    }

    /**
     * Applies heartbeats and returns the hashes of unknown records, which the peer is to be asked for.
     *
     * @param frameVersion configuration version of the frame, to which the versions of the members are relative
     * @throws IllegalArgumentException if the lists of heartbeats differ in length
     */
    synchronized List<Integer> applyHeartbeats(Beats heartbeats, long frameVersion, int sourceLink) {
        checkPause();
        int n = heartbeats.getRowsSize();
        if (heartbeats.getHeartbeatsSize() != n || heartbeats.getVersionLagsSize() != n) {
            throw new IllegalArgumentException("lists of heartbeats must have the same length");
        }
        List<Integer> unknown = new ArrayList<>();
        long now = timers.nanos();
        long retryNanos =
                timings.gossipPeriod().multipliedBy(REQUEST_RETRY_PERIODS).toNanos();
        for (int i = 0; i < n; i++) {
            int hash = heartbeats.getRows().get(i);
            TrackedRun tracked = byHash.get(hash);
            if (tracked == null || tracked == COLLISION) {
                Long before = requestedAt.get(hash);
                if (before == null || now - before > retryNanos) {
                    requestedAt.put(hash, now);
                    unknown.add(hash);
                }
                continue;
            }
            MemberRecord r = tracked.member;
            long heartbeat = heartbeats.getHeartbeats().get(i);
            ConfigVersion version = new ConfigVersion(
                    Math.max(0, frameVersion - heartbeats.getVersionLags().get(i)));
            boolean newer = version.compareTo(r.configVersion()) > 0;
            if (!r.run().equals(self) && (heartbeat > r.heartbeat() || newer)) {
                put(
                        r.withHeartbeat(Math.max(heartbeat, r.heartbeat()), newer ? version : r.configVersion()),
                        sourceLink);
            }
        }
        return unknown;
    }

    /** Returns the records that a peer has asked for, as far as they are known. */
    synchronized List<MemberRecord> recordsFor(Collection<Integer> hashes) {
        Set<Integer> wanted = Set.copyOf(hashes);
        return runs.values().stream()
                .filter(r -> wanted.contains(r.hash))
                .map(r -> r.member)
                .toList();
    }

    /**
     * Returns what has changed since the given serials, except for changes that arrived on that link.
     *
     * @param frameVersion configuration version of the frame, to which the versions of the members are relative
     */
    synchronized Changes changes(long sinceState, long sinceHeartbeat, long frameVersion, int link) {
        checkPause();
        List<MemberRecord> changed = new ArrayList<>();
        Beats heartbeats = new Beats(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        long now = timers.nanos();
        for (TrackedRun tracked : runs.values()) {
            // Members with overdue heartbeats are not passed on, or peers that forgot them would add them again.
            boolean overdue = status(tracked, now) == Status.GONE && tracked.member.state() != MemberState.LEFT;
            if (overdue) {
                continue;
            }
            boolean heartbeatChanged = tracked.heartbeatSerial > sinceHeartbeat && tracked.heartbeatSource != link;
            boolean collision = byHash.get(tracked.hash) == COLLISION;
            if (tracked.stateSerial > sinceState && tracked.stateSource != link || heartbeatChanged && collision) {
                changed.add(tracked.member);
            } else if (heartbeatChanged) {
                heartbeats.addToRows(tracked.hash);
                heartbeats.addToHeartbeats(tracked.member.heartbeat());
                heartbeats.addToVersionLags(
                        frameVersion - tracked.member.configVersion().value());
            }
        }
        return new Changes(changed, heartbeats, serial);
    }

    synchronized long serial() {
        return serial;
    }

    /**
     * Advances this instance's heartbeat if it is due, removes records that have expired and returns the instances that
     * have become gone since the last call.
     */
    synchronized Set<InstanceId> tick() {
        checkPause();
        long now = timers.nanos();
        if (now - nextHeartbeat >= 0) {
            // Half a gossip period less, so that a slightly early tick does not skip a heartbeat.
            nextHeartbeat = now
                    + timings.heartbeatPeriod(fleetSize).toNanos()
                    - timings.gossipPeriod().toNanos() / 2;
            MemberRecord own = runs.get(self).member;
            put(own.withHeartbeat(own.heartbeat() + 1, own.configVersion()), LOCAL);
        }
        setFleetSize(memberCount());
        Set<InstanceId> newlyGone = new HashSet<>();
        long retryNanos =
                timings.gossipPeriod().multipliedBy(REQUEST_RETRY_PERIODS).toNanos();
        requestedAt.values().removeIf(t -> now - t > retryNanos);
        tombstones.values().removeIf(t -> now - t.until() > 0);
        for (TrackedRun tracked : List.copyOf(runs.values())) {
            Run run = tracked.member.run();
            if (status(tracked, now) != Status.GONE) {
                continue;
            }
            if (!tracked.gone) {
                tracked.gone = true;
                if (latestRuns.get(run.instance()) == tracked) {
                    newlyGone.add(run.instance());
                }
            }
            Duration retention =
                    tracked.member.successor().isPresent() ? timings.successorRetention() : timings.forgetAfter();
            if (now - tracked.lastAdvance > retention.toNanos()) {
                remove(tracked);
                long until = now
                        + timings.forgetAfter().multipliedBy(TOMBSTONE_PERIODS).toNanos();
                tombstones.put(run, new Tombstone(tracked.member.heartbeat(), until, tracked.member.address()));
            }
        }
        return newlyGone;
    }

    private void setFleetSize(int members) {
        if (members != fleetSize) {
            fleetSize = members;
            suspectNanos = timings.suspectTimeout(members).toNanos();
            goneNanos = timings.goneTimeout(members).toNanos();
        }
    }

    /** Updates this instance's record; returns whether it changed. */
    synchronized boolean setOwnState(MemberState state, Optional<Run> successor) {
        MemberRecord own = runs.get(self).member;
        return put(own.withState(state, successor.isPresent() ? successor : own.successor()), LOCAL);
    }

    synchronized void setConfigVersion(ConfigVersion version) {
        MemberRecord own = runs.get(self).member;
        put(own.withHeartbeat(own.heartbeat(), version), LOCAL);
    }

    synchronized MemberRecord ownRecord() {
        return runs.get(self).member;
    }

    /** Returns the latest run of each known instance, this one included. */
    synchronized List<MemberInfo> members() {
        checkPause();
        long now = timers.nanos();
        return latestRuns.values().stream()
                .map(r -> new MemberInfo(
                        r.member.run().instance(),
                        r.member.run().incarnation(),
                        r.member.address(),
                        r.member.failureDomain(),
                        status(r, now),
                        r.member.configVersion(),
                        r.member.successor().map(Run::instance)))
                .toList();
    }

    /** Returns the latest run of an instance, if it is known. */
    synchronized Optional<MemberRecord> latestRun(InstanceId instance) {
        return Optional.ofNullable(latestRuns.get(instance)).map(r -> r.member);
    }

    /** Returns the live members in the region of this instance, itself included. */
    synchronized List<InstanceId> liveInRegion() {
        checkPause();
        long now = timers.nanos();
        String region = runs.get(self).member.region();
        return latestRuns.values().stream()
                .filter(r -> r.member.region().equals(region) && status(r, now) == Status.LIVE)
                .map(r -> r.member.run().instance())
                .toList();
    }

    /** Returns the addresses of forgotten members; they are dialled again so that a long partition can heal. */
    synchronized List<Address> forgottenAddresses() {
        return tombstones.values().stream().map(Tombstone::address).distinct().toList();
    }

    /**
     * Returns the run that owns the keys of the given run: the run itself, or the end of its chain of key successors;
     * empty if a run of that chain is unknown or the chain is cyclic.
     */
    synchronized Optional<MemberRecord> keyOwner(Run run) {
        Set<Run> visited = new HashSet<>();
        Run owner = run;
        while (visited.add(owner)) {
            TrackedRun tracked = runs.get(owner);
            if (tracked == null) {
                return Optional.empty();
            }
            if (tracked.member.successor().isEmpty()) {
                return Optional.of(tracked.member);
            }
            owner = tracked.member.successor().get();
        }
        return Optional.empty();
    }

    /** Returns whether a current or earlier run has announced the other run as its key successor. */
    synchronized boolean isSuccessor(Run owner, Run successor) {
        TrackedRun tracked = runs.get(owner);
        return tracked != null && tracked.member.successor().equals(Optional.of(successor));
    }

    /** Returns whether the records of other members may be out of date, after a start or a pause of this process. */
    synchronized boolean isStale() {
        checkPause();
        return timers.nanos() - staleUntil < 0;
    }

    /** Returns the number of members that are not gone, as of the last tick. */
    synchronized int fleetSize() {
        return fleetSize;
    }

    synchronized Duration suspectTimeout() {
        return timings.suspectTimeout(fleetSize);
    }

    /** Restarts the silence timeout of all members after a pause, since the missed heartbeats are due to the pause. */
    private void checkPause() {
        long generation = timers.pauseGeneration();
        if (generation != pauseGeneration) {
            pauseGeneration = generation;
            long now = timers.nanos();
            runs.values().stream().filter(r -> !r.gone).forEach(r -> r.lastAdvance = now);
            staleUntil = now + suspectTimeout().toNanos();
        }
    }

    private Status status(TrackedRun tracked, long now) {
        if (tracked.member.run().equals(self)) {
            return tracked.member.state() == MemberState.LIVE ? Status.LIVE : Status.LEAVING;
        }
        if (tracked.member.state() == MemberState.LEFT || tracked.gone) {
            return Status.GONE;
        }
        long sinceAdvance = now - tracked.lastAdvance;
        if (sinceAdvance >= goneNanos) {
            return Status.GONE;
        }
        if (sinceAdvance >= suspectNanos) {
            return Status.SUSPECT;
        }
        return tracked.member.state() == MemberState.LEAVING ? Status.LEAVING : Status.LIVE;
    }

    /** Returns the number of members that are not gone, from which periods and timeouts are derived. */
    private int memberCount() {
        int count = 0;
        for (TrackedRun r : latestRuns.values()) {
            count += r.gone ? 0 : 1;
        }
        return count;
    }
}
