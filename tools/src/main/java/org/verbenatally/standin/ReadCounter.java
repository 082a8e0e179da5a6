package org.verbenatally.standin;

import java.util.TreeMap;

import io.vertx.core.json.JsonObject;

/** Counts the platform's reads by route and refuses those above the rate of the current second. */
final class ReadCounter {
    private final TreeMap<String, Long> total = new TreeMap<>();
    private long second;
    private int inSecond;
    private int peak;
    private long refused;

    /** Counts a read and returns whether it is within the rate. */
    boolean take(String route, int readsPerSecond) {
        total.merge(route, 1L, Long::sum);
        long now = System.nanoTime() / 1_000_000_000;
        if (now != second) {
            second = now;
            inSecond = 0;
        }
        inSecond++;
        peak = Math.max(peak, inSecond);
        if (inSecond > readsPerSecond) {
            refused++;
            return false;
        }
        return true;
    }

    JsonObject toJson() {
        JsonObject reads = new JsonObject();
        total.forEach(reads::put);
        return new JsonObject().put("reads", reads).put("peakPerSecond", peak).put("refused", refused);
    }
}
