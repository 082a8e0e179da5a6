package org.verbenatally.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.verbenatally.core.InstanceId;
import org.verbenatally.core.TargetId;
import org.verbenatally.time.TimerService;
import org.verbenatally.wire.Suspect;

/**
 * Requests that were running when a target died. After two crashes in isolation, or three in all, a request is in
 * quarantine. Holds at most 4,096 rows of 15 minutes each. Safe for use by several threads.
 */
public final class SuspectTable {
    private static final int MAX_ROWS = 4096;
    private static final long LIFE_MS = TimeUnit.MINUTES.toMillis(15);
    private static final int ISOLATED_TO_QUARANTINE = 2;
    private static final int CRASHES_TO_QUARANTINE = 3;

    /** What is to be done with a request. */
    public enum Verdict {
        /** It is not suspected. */
        CLEAR,
        /** It may run only on a target that runs no other suspect. */
        ISOLATE,
        /** It must be refused with type {@code crashes-targets}. */
        QUARANTINED
    }

    private static final class Row {
        int crashes;
        int isolated;
        /** Crashes known when the request last finished; gossip with no more than these is out of date. */
        int crashesCleared;

        long expiresNanos;
        TargetId runningOn;

        Verdict verdict() {
            if (crashes <= crashesCleared) {
                return Verdict.CLEAR;
            }
            return isolated >= ISOLATED_TO_QUARANTINE || crashes - crashesCleared >= CRASHES_TO_QUARANTINE
                    ? Verdict.QUARANTINED
                    : Verdict.ISOLATE;
        }
    }

    private final TimerService timer;
    private final Map<Fingerprint, Row> rows = new LinkedHashMap<>();
    private final Map<InstanceId, Map<TargetId, Fingerprint>> atPeers = new HashMap<>();

    /** Creates an empty table on the given clock. */
    public SuspectTable(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /**
     * Counts a crash of a target against every request that ran there. Call it once for each crash, with all requests
     * of this entry.
     */
    public void crashed(TargetId target, Collection<Fingerprint> running) {
        crashed(target, running, running.size() == 1);
    }

    /**
     * Counts a crash of a target.
     *
     * @param target the target that died
     * @param running requests of this entry that ran there
     * @param alone whether the only request on the target was the given one; requests of peers count
     */
    public synchronized void crashed(TargetId target, Collection<Fingerprint> running, boolean alone) {
        Objects.requireNonNull(target, "target");
        Set<Fingerprint> distinct = Set.copyOf(running);
        long suspectsThere = distinct.stream().filter(this::isSuspect).count();
        boolean peerSuspectThere = atPeers.values().stream().anyMatch(map -> map.containsKey(target));
        for (Fingerprint fingerprint : distinct) {
            Row known = rows.get(fingerprint);
            boolean isolated = !isSuspect(fingerprint) ? alone : suspectsThere == 1 && !peerSuspectThere;
            Row row = known == null ? new Row() : known;
            row.crashes++;
            row.isolated += isolated ? 1 : 0;
            row.runningOn = null;
            row.expiresNanos = timer.nanos() + TimeUnit.MILLISECONDS.toNanos(LIFE_MS);
            rows.putIfAbsent(fingerprint, row);
        }
        trim();
    }

    private boolean isSuspect(Fingerprint fingerprint) {
        Row row = rows.get(fingerprint);
        return row != null && row.verdict() != Verdict.CLEAR;
    }

    /** Returns what is to be done with a request. */
    public synchronized Verdict check(Fingerprint fingerprint) {
        Row row = rows.get(fingerprint);
        if (row == null) {
            return Verdict.CLEAR;
        }
        if (row.expiresNanos - timer.nanos() <= 0) {
            rows.remove(fingerprint);
            return Verdict.CLEAR;
        }
        return row.verdict();
    }

    /** Forgets a request that finished, unless it is in quarantine already. */
    public synchronized void cleared(Fingerprint fingerprint) {
        Row row = rows.get(fingerprint);
        if (row != null && row.verdict() == Verdict.ISOLATE) {
            row.crashesCleared = row.crashes;
            row.isolated = 0;
            row.runningOn = null;
        }
    }

    /** Returns all rows for the peers. */
    public synchronized List<Suspect> suspects() {
        trim();
        List<Suspect> result = new ArrayList<>(rows.size());
        long now = timer.nanos();
        rows.forEach((fingerprint, row) -> {
            if (row.verdict() == Verdict.CLEAR) {
                return;
            }
            int expiresIn = (int) TimeUnit.NANOSECONDS.toMillis(row.expiresNanos - now);
            Suspect suspect = new Suspect(fingerprint.high(), fingerprint.low(), row.crashes, row.isolated, expiresIn);
            Optional.ofNullable(row.runningOn).ifPresent(target -> suspect.setRunningOn(target.value()));
            result.add(suspect);
        });
        return result;
    }

    /** Takes the rows of a peer; the larger counts win. Rows that make no sense are ignored. */
    public synchronized void merge(InstanceId from, List<Suspect> suspects) {
        Map<TargetId, Fingerprint> running = new HashMap<>();
        long now = timer.nanos();
        for (Suspect suspect : suspects) {
            long left = Math.min(LIFE_MS, suspect.getExpiresInMs());
            int crashes = suspect.getCrashes();
            int isolated = suspect.getIsolatedCrashes();
            if (left <= 0 || crashes < 1 || isolated < 0 || isolated > crashes) {
                continue;
            }
            Fingerprint fingerprint = new Fingerprint(suspect.getFingerprintHigh(), suspect.getFingerprintLow());
            Row row = rows.computeIfAbsent(fingerprint, key -> new Row());
            if (crashes <= row.crashesCleared) {
                continue;
            }
            if (crashes > row.crashes || isolated > row.isolated) {
                row.expiresNanos = now + TimeUnit.MILLISECONDS.toNanos(left);
            }
            row.crashes = Math.max(row.crashes, crashes);
            row.isolated = Math.max(row.isolated, isolated);
            if (suspect.isSetRunningOn()) {
                running.put(new TargetId(suspect.getRunningOn()), fingerprint);
            }
        }
        atPeers.put(from, running);
        trim();
    }

    /** Forgets what a peer runs, after it has gone. */
    public synchronized void forgetPeer(InstanceId peer) {
        atPeers.remove(peer);
    }

    /**
     * Reserves a target for a suspect, if no other suspect runs there.
     *
     * @return whether the suspect may run there
     */
    synchronized boolean reserve(Fingerprint fingerprint, TargetId target) {
        Row row = rows.get(fingerprint);
        if (row == null || row.verdict() == Verdict.CLEAR) {
            return true;
        }
        boolean taken = row.runningOn != null || runsSuspect(target);
        if (!taken) {
            row.runningOn = target;
        }
        return !taken;
    }

    /** Tells whether a suspect runs on a target, here or at a peer. */
    synchronized boolean runsSuspect(TargetId target) {
        return rows.values().stream().anyMatch(row -> target.equals(row.runningOn))
                || atPeers.values().stream().anyMatch(map -> map.containsKey(target));
    }

    /** Ends the reservation of a suspect. */
    synchronized void release(Fingerprint fingerprint, TargetId target) {
        Row row = rows.get(fingerprint);
        if (row != null && target.equals(row.runningOn)) {
            row.runningOn = null;
        }
    }

    private void trim() {
        long now = timer.nanos();
        rows.values().removeIf(row -> row.expiresNanos - now <= 0);
        var oldest = rows.keySet().iterator();
        while (rows.size() > MAX_ROWS && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }
}
