package org.verbenatally.standin;

import java.util.TreeMap;

import io.vertx.core.json.JsonObject;

/** Counts reads of the platform by route and limits their number in each second. */
final class ReadCounter {
    private final TreeMap<String, Long> readsByRoute = new TreeMap<>();
    private long currentSecond;
    private int readsInSecond;
    private int peakPerSecond;
    private long refused;

    /** Counts a read and returns whether it is within the limit for the current second. */
    boolean tryAcquire(String route, int readsPerSecond) {
        readsByRoute.merge(route, 1L, Long::sum);
        long now = System.nanoTime() / 1_000_000_000;
        if (now != currentSecond) {
            currentSecond = now;
            readsInSecond = 0;
        }
        readsInSecond++;
        peakPerSecond = Math.max(peakPerSecond, readsInSecond);
        if (readsInSecond > readsPerSecond) {
            refused++;
            return false;
        }
        return true;
    }

    JsonObject toJson() {
        JsonObject reads = new JsonObject();
        readsByRoute.forEach(reads::put);
        return new JsonObject()
                .put("reads", reads)
                .put("peakPerSecond", peakPerSecond)
                .put("refused", refused);
    }
}
