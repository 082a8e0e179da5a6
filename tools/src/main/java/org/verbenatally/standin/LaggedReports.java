package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.json.JsonObject;

/** Snapshots of the load that are served with a lag. */
final class LaggedReports {
    private record Snapshot(long atNanos, JsonObject report) {}

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** Adds a snapshot of the current load and removes those that are too old to be served again. */
    void add(JsonObject report, long lagMs) {
        long nowNanos = System.nanoTime();
        snapshots.addLast(new Snapshot(nowNanos, report));
        long cutoffNanos = nowNanos - lagMs * 1_000_000;
        while (snapshots.size() > 1 && second().atNanos() - cutoffNanos <= 0) {
            snapshots.removeFirst();
        }
    }

    private Snapshot second() {
        var iterator = snapshots.iterator();
        iterator.next();
        return iterator.next();
    }

    /** Returns the newest snapshot that is at least as old as the lag, or else the oldest one. */
    JsonObject laggedReport() {
        return snapshots.getFirst().report();
    }
}
