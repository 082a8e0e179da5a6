package org.verbenatally.standin;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.json.JsonObject;

/** Snapshots of the load, served with a lag. */
final class LaggedReports {
    private record Snapshot(long atNanos, JsonObject report) {}

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    /** Adds the present state and forgets snapshots that are too old to be served again. */
    void add(JsonObject report, long lagMs) {
        long now = System.nanoTime();
        snapshots.addLast(new Snapshot(now, report));
        long limit = now - lagMs * 1_000_000;
        while (snapshots.size() > 1 && second().atNanos() - limit <= 0) {
            snapshots.removeFirst();
        }
    }

    private Snapshot second() {
        var iterator = snapshots.iterator();
        iterator.next();
        return iterator.next();
    }

    /** Returns the newest snapshot that is at least as old as the lag, or the oldest one there is. */
    JsonObject serve() {
        return snapshots.getFirst().report();
    }
}
