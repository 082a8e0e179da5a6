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
 * Requests that were running when a target crashed. A request is quarantined after two crashes in isolation or three
 * crashes in all. Holds at most 4,096 records, each for 15 minutes. Safe for use by several threads.
 */
public final class SuspectTable {
    private static final int MAX_RECORDS = 4096;
    private static final long LIFETIME_MS = TimeUnit.MINUTES.toMillis(15);
    private static final int QUARANTINE_ISOLATED_CRASHES = 2;
    private static final int QUARANTINE_CRASHES = 3;

    /** How a request must be treated. */
    public enum Verdict {
        /** It is not suspected. */
        CLEAR,
        /** It may run only on a target that runs no other suspect. */
        ISOLATE,
        /** It must be refused with type {@code crashes-targets}. */
        QUARANTINED
    }

    private static final class CrashRecord {
        int crashes;
        int isolated;
        /** Crashes known when the request last completed; gossip with no more crashes than these is out of date. */
        int crashesCleared;

        long expiresNanos;
        TargetId runningOn;

        Verdict verdict() {
            if (crashes <= crashesCleared) {
                return Verdict.CLEAR;
            }
            return isolated >= QUARANTINE_ISOLATED_CRASHES || crashes - crashesCleared >= QUARANTINE_CRASHES
                    ? Verdict.QUARANTINED
                    : Verdict.ISOLATE;
        }
    }

    private final TimerService timer;
    private final Map<Fingerprint, CrashRecord> records = new LinkedHashMap<>();
    private final Map<InstanceId, Map<TargetId, Fingerprint>> runningAtPeers = new HashMap<>();

    /** Creates an empty table on the given clock. */
    public SuspectTable(TimerService timer) {
        this.timer = Objects.requireNonNull(timer, "timer");
    }

    /**
     * Counts a crash of a target against every request that was running there. Must be called once per crash, with all
     * requests of this entry.
     */
    public void recordCrash(TargetId target, Collection<Fingerprint> running) {
        recordCrash(target, running, running.size() == 1);
    }

    /**
     * Counts a crash of a target.
     *
     * @param target the target that crashed
     * @param running requests of this entry that were running there
     * @param alone whether the given request was the only one on the target, requests of peers included
     */
    public synchronized void recordCrash(TargetId target, Collection<Fingerprint> running, boolean alone) {
        Objects.requireNonNull(target, "target");
        Set<Fingerprint> distinct = Set.copyOf(running);
        long suspectCount = distinct.stream().filter(this::isSuspect).count();
        boolean peerRunsSuspect = runningAtPeers.values().stream().anyMatch(map -> map.containsKey(target));
        for (Fingerprint fingerprint : distinct) {
            CrashRecord known = records.get(fingerprint);
            boolean isolated = !isSuspect(fingerprint) ? alone : suspectCount == 1 && !peerRunsSuspect;
            CrashRecord crashRecord = known == null ? new CrashRecord() : known;
            crashRecord.crashes++;
            crashRecord.isolated += isolated ? 1 : 0;
            crashRecord.runningOn = null;
            crashRecord.expiresNanos = timer.nanos() + TimeUnit.MILLISECONDS.toNanos(LIFETIME_MS);
            records.putIfAbsent(fingerprint, crashRecord);
        }
        evict();
    }

    private boolean isSuspect(Fingerprint fingerprint) {
        CrashRecord crashRecord = records.get(fingerprint);
        return crashRecord != null && crashRecord.verdict() != Verdict.CLEAR;
    }

    /** Returns how a request must be treated. */
    public synchronized Verdict verdict(Fingerprint fingerprint) {
        CrashRecord crashRecord = records.get(fingerprint);
        if (crashRecord == null) {
            return Verdict.CLEAR;
        }
        if (crashRecord.expiresNanos - timer.nanos() <= 0) {
            records.remove(fingerprint);
            return Verdict.CLEAR;
        }
        return crashRecord.verdict();
    }

    /** Clears the suspicion against a request that completed, unless the request is already quarantined. */
    public synchronized void clearSuspicion(Fingerprint fingerprint) {
        CrashRecord crashRecord = records.get(fingerprint);
        if (crashRecord != null && crashRecord.verdict() == Verdict.ISOLATE) {
            crashRecord.crashesCleared = crashRecord.crashes;
            crashRecord.isolated = 0;
            crashRecord.runningOn = null;
        }
    }

    /** Returns the records of all current suspects, for the peers. */
    public synchronized List<Suspect> suspects() {
        evict();
        List<Suspect> result = new ArrayList<>(records.size());
        long now = timer.nanos();
        records.forEach((fingerprint, crashRecord) -> {
            if (crashRecord.verdict() == Verdict.CLEAR) {
                return;
            }
            int expiresInMs = (int) TimeUnit.NANOSECONDS.toMillis(crashRecord.expiresNanos - now);
            Suspect suspect = new Suspect(
                    fingerprint.high(), fingerprint.low(), crashRecord.crashes, crashRecord.isolated, expiresInMs);
            Optional.ofNullable(crashRecord.runningOn).ifPresent(target -> suspect.setRunningOn(target.value()));
            result.add(suspect);
        });
        return result;
    }

    /** Merges the records of a peer; the larger counts win. Invalid records are ignored. */
    public synchronized void mergePeerSuspects(InstanceId from, List<Suspect> suspects) {
        Map<TargetId, Fingerprint> running = new HashMap<>();
        long now = timer.nanos();
        for (Suspect suspect : suspects) {
            long remainingMs = Math.min(LIFETIME_MS, suspect.getExpiresInMs());
            int crashes = suspect.getCrashes();
            int isolated = suspect.getIsolatedCrashes();
            if (remainingMs <= 0 || crashes < 1 || isolated < 0 || isolated > crashes) {
                continue;
            }
            Fingerprint fingerprint = new Fingerprint(suspect.getFingerprintHigh(), suspect.getFingerprintLow());
            CrashRecord crashRecord = records.computeIfAbsent(fingerprint, key -> new CrashRecord());
            if (crashes <= crashRecord.crashesCleared) {
                continue;
            }
            if (crashes > crashRecord.crashes || isolated > crashRecord.isolated) {
                crashRecord.expiresNanos = now + TimeUnit.MILLISECONDS.toNanos(remainingMs);
            }
            crashRecord.crashes = Math.max(crashRecord.crashes, crashes);
            crashRecord.isolated = Math.max(crashRecord.isolated, isolated);
            if (suspect.isSetRunningOn()) {
                running.put(new TargetId(suspect.getRunningOn()), fingerprint);
            }
        }
        runningAtPeers.put(from, running);
        evict();
    }

    /** Removes the running suspects of a peer that is gone. The crashes that it reported are kept. */
    public synchronized void removePeer(InstanceId peer) {
        runningAtPeers.remove(peer);
    }

    /**
     * Reserves a target for a suspect, if no other suspect runs there.
     *
     * @return whether the request may run there
     */
    synchronized boolean reserve(Fingerprint fingerprint, TargetId target) {
        CrashRecord crashRecord = records.get(fingerprint);
        if (crashRecord == null || crashRecord.verdict() == Verdict.CLEAR) {
            return true;
        }
        boolean occupied = crashRecord.runningOn != null || runsSuspect(target);
        if (!occupied) {
            crashRecord.runningOn = target;
        }
        return !occupied;
    }

    /** Returns whether a suspect runs on a target, here or at a peer. */
    synchronized boolean runsSuspect(TargetId target) {
        return records.values().stream().anyMatch(crashRecord -> target.equals(crashRecord.runningOn))
                || runningAtPeers.values().stream().anyMatch(map -> map.containsKey(target));
    }

    /** Releases the reservation of a suspect. */
    synchronized void release(Fingerprint fingerprint, TargetId target) {
        CrashRecord crashRecord = records.get(fingerprint);
        if (crashRecord != null && target.equals(crashRecord.runningOn)) {
            crashRecord.runningOn = null;
        }
    }

    private void evict() {
        long now = timer.nanos();
        records.values().removeIf(crashRecord -> crashRecord.expiresNanos - now <= 0);
        var oldest = records.keySet().iterator();
        while (records.size() > MAX_RECORDS && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }
}
