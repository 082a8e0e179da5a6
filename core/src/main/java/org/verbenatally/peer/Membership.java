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
import org.verbenatally.peer.MemberRow.Run;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Beats;
import org.verbenatally.wire.MemberState;

/**
 * The member table. It knows no links: rows and heartbeats come in with the number of the link that brought them, and
 * {@link #changes} returns what a link has not been sent yet. All methods may be called from any thread.
 */
final class Membership {
    private static final Logger LOG = Logger.getLogger(Membership.class);

    /** Most rows that a table holds; more can only come from a faulty peer. */
    private static final int MAX_ROWS = 8_192;

    /** Forgotten rows stay barred this many forget periods, so that a slow peer cannot bring them back. */
    private static final int TOMBSTONE_PERIODS = 12;

    /** An unknown row is asked for again after this many gossip periods. */
    private static final int ASK_AGAIN_PERIODS = 4;

    /** Marks a change that no link brought. */
    static final int LOCAL = -1;

    /** Stands for two rows with one hash; their beats are sent as whole rows. */
    private static final Row COLLISION = new Row();

    private final Run self;
    private final PeerTimings timings;
    private final TimerService timers;
    private final Map<Run, Row> rows = new TreeMap<>();
    private final Map<InstanceId, Row> current = new TreeMap<>();
    private final Map<Integer, Row> byHash = new HashMap<>();
    private final Map<Integer, Long> asked = new HashMap<>();
    private final Map<Run, Tombstone> tombstones = new HashMap<>();
    private long serial = 1;
    private long pauseGeneration;
    private long staleUntil;
    private long nextBeat;
    private int fleet;
    private long suspectNanos;
    private long goneNanos;
    private boolean namesakeSeen;

    private static final class Row {
        private MemberRow row;
        private int hash;
        private long advanced;
        private long stateSerial;
        private int stateVia;
        private long beatSerial;
        private int beatVia;
        private boolean gone;
    }

    private record Tombstone(long heartbeat, long until, Address address) {}

    /**
     * What a link has not been sent yet.
     *
     * @param rows rows that changed in more than the heartbeat
     * @param beats heartbeats that advanced
     * @param serial value to pass to the next call
     */
    record Changes(List<MemberRow> rows, Beats beats, long serial) {}

    Membership(MemberRow own, PeerTimings timings, TimerService timers) {
        this.self = own.run();
        this.timings = timings;
        this.timers = timers;
        setFleet(1);
        pauseGeneration = timers.pauseGeneration();
        nextBeat = timers.nanos();
        put(own, LOCAL);
        // A new instance knows nothing yet; the same rule as after a pause holds until its first round.
        staleUntil = timers.nanos() + timings.suspect().toNanos();
    }

    /** Merges rows and returns whether one of them says that a member is leaving, has left or was replaced. */
    synchronized boolean merge(Collection<MemberRow> received, int via) {
        checkPause();
        boolean urgent = false;
        for (MemberRow r : received) {
            urgent |= merge(r, via);
        }
        return urgent;
    }

    private boolean merge(MemberRow r, int via) {
        Tombstone barred = tombstones.get(r.run());
        if (r.run().equals(self) || barred != null && r.heartbeat() <= barred.heartbeat()) {
            return false;
        }
        if (r.run().compareTo(self) > 0 && r.run().instance().equals(self.instance())) {
            warnOfNamesake(r);
            return false;
        }
        Row known = rows.get(r.run());
        Row latest = current.get(r.run().instance());
        boolean earlier = latest != null
                && latest.row.run().incarnation().compareTo(r.run().incarnation()) > 0;
        if (earlier) {
            if (r.successor().isPresent()) {
                return put(known == null ? r.departed() : known.row.merge(r.departed()), via);
            }
            return false;
        }
        if (known == null && rows.size() >= MAX_ROWS) {
            throw new IllegalArgumentException("more than " + MAX_ROWS + " members");
        }
        return put(known == null ? r : known.row.merge(r), via) && (latest != null || r.state() != MemberState.LIVE);
    }

    private void warnOfNamesake(MemberRow r) {
        if (!namesakeSeen) {
            namesakeSeen = true;
            LOG.errorf(
                    "peer: another run of instance %s is live at %s; ids must be unique", self.instance(), r.address());
        }
    }

    /** Stores a row and returns whether more than its heartbeat or version changed. */
    private boolean put(MemberRow r, int via) {
        Row row = rows.get(r.run());
        long now = timers.nanos();
        boolean isNew = row == null;
        if (isNew) {
            row = new Row();
            row.advanced = now;
            rows.put(r.run(), row);
            supersede(r.run(), row);
        }
        boolean advanced = isNew || r.heartbeat() > row.row.heartbeat();
        boolean changed =
                isNew || r.state() != row.row.state() || !r.successor().equals(row.row.successor());
        if (advanced) {
            row.advanced = now;
            row.gone &= r.state() == MemberState.LEFT;
        }
        if (advanced || !r.configVersion().equals(row.row.configVersion())) {
            row.beatSerial = ++serial;
            row.beatVia = via;
        }
        row.row = r;
        if (changed) {
            byHash.remove(row.hash, row);
            row.hash = r.hash();
            byHash.merge(row.hash, row, (a, b) -> a == b ? a : COLLISION);
            row.stateSerial = ++serial;
            row.stateVia = via;
        }
        return changed;
    }

    private void supersede(Run run, Row row) {
        Row before = current.get(run.instance());
        if (before == null) {
            current.put(run.instance(), row);
        } else if (before.row.run().incarnation().compareTo(run.incarnation()) < 0) {
            current.put(run.instance(), row);
            if (before.row.successor().isPresent()) {
                put(before.row.departed(), LOCAL);
            } else {
                remove(before);
            }
        }
    }

    private void remove(Row row) {
        rows.remove(row.row.run());
        byHash.remove(row.hash, row);
        current.remove(row.row.run().instance(), row);
    }

    /** Applies heartbeats and returns the hashes of rows to ask the peer for. */
    synchronized List<Integer> apply(Beats beats, long frameVersion, int via) {
        checkPause();
        int n = beats.getRowsSize();
        if (beats.getHeartbeatsSize() != n || beats.getVersionLagsSize() != n) {
            throw new IllegalArgumentException("beats must have lists of one length");
        }
        List<Integer> unknown = new ArrayList<>();
        long now = timers.nanos();
        long askAgain = timings.gossip().multipliedBy(ASK_AGAIN_PERIODS).toNanos();
        for (int i = 0; i < n; i++) {
            int hash = beats.getRows().get(i);
            Row row = byHash.get(hash);
            if (row == null || row == COLLISION) {
                Long before = asked.get(hash);
                if (before == null || now - before > askAgain) {
                    asked.put(hash, now);
                    unknown.add(hash);
                }
                continue;
            }
            MemberRow r = row.row;
            long heartbeat = beats.getHeartbeats().get(i);
            ConfigVersion version = new ConfigVersion(
                    Math.max(0, frameVersion - beats.getVersionLags().get(i)));
            boolean newer = version.compareTo(r.configVersion()) > 0;
            if (!r.run().equals(self) && (heartbeat > r.heartbeat() || newer)) {
                put(r.beat(Math.max(heartbeat, r.heartbeat()), newer ? version : r.configVersion()), via);
            }
        }
        return unknown;
    }

    /** Returns the rows that a peer has asked for, as far as they are known. */
    synchronized List<MemberRow> rows(Collection<Integer> hashes) {
        Set<Integer> wanted = Set.copyOf(hashes);
        return rows.values().stream()
                .filter(r -> wanted.contains(r.hash))
                .map(r -> r.row)
                .toList();
    }

    /** Returns what has changed since the given serials, without what came from that link. */
    synchronized Changes changes(long sinceState, long sinceBeat, long frameVersion, int link) {
        checkPause();
        List<MemberRow> changed = new ArrayList<>();
        Beats beats = new Beats(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        long now = timers.nanos();
        for (Row row : rows.values()) {
            // Rows of silent members are not passed on, or members that forgot them would learn them again.
            boolean silent = status(row, now) == Status.GONE && row.row.state() != MemberState.LEFT;
            if (silent) {
                continue;
            }
            boolean beat = row.beatSerial > sinceBeat && row.beatVia != link;
            boolean collision = byHash.get(row.hash) == COLLISION;
            if (row.stateSerial > sinceState && row.stateVia != link || beat && collision) {
                changed.add(row.row);
            } else if (beat) {
                beats.addToRows(row.hash);
                beats.addToHeartbeats(row.row.heartbeat());
                beats.addToVersionLags(frameVersion - row.row.configVersion().value());
            }
        }
        return new Changes(changed, beats, serial);
    }

    synchronized long serial() {
        return serial;
    }

    /** Advances the own heartbeat when its period has passed, forgets old rows and returns who is newly gone. */
    synchronized Set<InstanceId> tick() {
        checkPause();
        long now = timers.nanos();
        if (now - nextBeat >= 0) {
            // Half a gossip period less, so that a tick that comes a little early does not skip a beat.
            nextBeat =
                    now + timings.beatPeriod(fleet).toNanos() - timings.gossip().toNanos() / 2;
            MemberRow own = rows.get(self).row;
            put(own.beat(own.heartbeat() + 1, own.configVersion()), LOCAL);
        }
        setFleet(size());
        Set<InstanceId> newlyGone = new HashSet<>();
        long askAgain = timings.gossip().multipliedBy(ASK_AGAIN_PERIODS).toNanos();
        asked.values().removeIf(t -> now - t > askAgain);
        tombstones.values().removeIf(t -> now - t.until() > 0);
        for (Row row : List.copyOf(rows.values())) {
            Run run = row.row.run();
            if (status(row, now) != Status.GONE) {
                continue;
            }
            if (!row.gone) {
                row.gone = true;
                if (current.get(run.instance()) == row) {
                    newlyGone.add(run.instance());
                }
            }
            Duration memory = row.row.successor().isPresent() ? timings.successorMemory() : timings.forget();
            if (now - row.advanced > memory.toNanos()) {
                remove(row);
                long until =
                        now + timings.forget().multipliedBy(TOMBSTONE_PERIODS).toNanos();
                tombstones.put(run, new Tombstone(row.row.heartbeat(), until, row.row.address()));
            }
        }
        return newlyGone;
    }

    private void setFleet(int members) {
        if (members != fleet) {
            fleet = members;
            suspectNanos = timings.suspectAfter(members).toNanos();
            goneNanos = timings.goneAfter(members).toNanos();
        }
    }

    /** Changes the own row; returns whether that is news for the peers. */
    synchronized boolean setOwn(MemberState state, Optional<Run> successor) {
        MemberRow own = rows.get(self).row;
        return put(own.with(state, successor.isPresent() ? successor : own.successor()), LOCAL);
    }

    synchronized void setConfigVersion(ConfigVersion version) {
        MemberRow own = rows.get(self).row;
        put(own.beat(own.heartbeat(), version), LOCAL);
    }

    synchronized MemberRow own() {
        return rows.get(self).row;
    }

    /** Returns the latest run of each known instance. */
    synchronized List<MemberInfo> members() {
        checkPause();
        long now = timers.nanos();
        return current.values().stream()
                .map(r -> new MemberInfo(
                        r.row.run().instance(),
                        r.row.run().incarnation(),
                        r.row.address(),
                        r.row.failureDomain(),
                        status(r, now),
                        r.row.configVersion(),
                        r.row.successor().map(Run::instance)))
                .toList();
    }

    /** Returns the latest run of an instance, if it is known. */
    synchronized Optional<MemberRow> current(InstanceId instance) {
        return Optional.ofNullable(current.get(instance)).map(r -> r.row);
    }

    /** Returns the live members of the own region, this instance included. */
    synchronized List<InstanceId> liveInRegion() {
        checkPause();
        long now = timers.nanos();
        String region = rows.get(self).row.region();
        return current.values().stream()
                .filter(r -> r.row.region().equals(region) && status(r, now) == Status.LIVE)
                .map(r -> r.row.run().instance())
                .toList();
    }

    /** Returns where forgotten members listened; after a long partition they are tried again. */
    synchronized List<Address> forgotten() {
        return tombstones.values().stream().map(Tombstone::address).distinct().toList();
    }

    /**
     * Returns the run that answers for the keys of the given run, which is the run itself or the end of a chain of
     * successors; empty if the run is not known.
     */
    synchronized Optional<MemberRow> keyOwner(Run run) {
        Set<Run> seen = new HashSet<>();
        Run at = run;
        while (seen.add(at)) {
            Row row = rows.get(at);
            if (row == null) {
                return Optional.empty();
            }
            if (row.row.successor().isEmpty()) {
                return Optional.of(row.row);
            }
            at = row.row.successor().get();
        }
        return Optional.empty();
    }

    /** Returns whether a run, present or past, has announced another as the successor of its keys. */
    synchronized boolean isSuccessor(Run owner, Run successor) {
        Row row = rows.get(owner);
        return row != null && row.row.successor().equals(Optional.of(successor));
    }

    /** Returns whether what the table says about others may be out of date, after a start or a pause. */
    synchronized boolean isStale() {
        checkPause();
        return timers.nanos() - staleUntil < 0;
    }

    /** Returns how many members there are that are not gone, as of the last tick. */
    synchronized int fleet() {
        return fleet;
    }

    synchronized Duration suspectAfter() {
        return timings.suspectAfter(fleet);
    }

    /** After a pause all members get a new silence timeout: the silence was this process's own. */
    private void checkPause() {
        long generation = timers.pauseGeneration();
        if (generation != pauseGeneration) {
            pauseGeneration = generation;
            long now = timers.nanos();
            rows.values().stream().filter(r -> !r.gone).forEach(r -> r.advanced = now);
            staleUntil = now + suspectAfter().toNanos();
        }
    }

    private Status status(Row row, long now) {
        if (row.row.run().equals(self)) {
            return row.row.state() == MemberState.LIVE ? Status.LIVE : Status.LEAVING;
        }
        if (row.row.state() == MemberState.LEFT || row.gone) {
            return Status.GONE;
        }
        long silent = now - row.advanced;
        if (silent >= goneNanos) {
            return Status.GONE;
        }
        if (silent >= suspectNanos) {
            return Status.SUSPECT;
        }
        return row.row.state() == MemberState.LEAVING ? Status.LEAVING : Status.LIVE;
    }

    /** The fleet size that periods and timeouts follow: all members that are not gone. */
    private int size() {
        int size = 0;
        for (Row r : current.values()) {
            size += r.gone ? 0 : 1;
        }
        return size;
    }
}
